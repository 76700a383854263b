package org.jasminehub.core.cold;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.jasminehub.core.serving.EndpointIncarnation;

/**
 * Orders the senders of each endpoint by rendezvous hashing, so that instances with the same view agree without messages
 * and the loss of one sender changes nothing for the others.
 *
 * <p>Names are hashed once for each view. The order of one endpoint then costs a few operations for each instance, and is
 * kept until the view changes. Not thread-safe.
 */
public final class SenderRanks implements SenderView {
    private static final long ODD_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final long FIRST_MIX = 0xBF58476D1CE4E5B9L;
    private static final long SECOND_MIX = 0x94D049BB133111EBL;

    private final long ownHash;
    private final String self;
    private final Map<EndpointIncarnation, Integer> ranks = new HashMap<>();
    private Set<String> live = Set.of();
    private long[] otherHashes = {};
    private int known = 1;

    /** Creates the view of the instance {@code self}, which knows no other. */
    public SenderRanks(String self) {
        this.self = self;
        this.ownHash = hash(self);
    }

    /**
     * Replaces the view.
     *
     * @param instances the live instances that may send, with or without this one
     * @param knownInstances the number of instances that may exist
     */
    public void update(Collection<String> instances, int knownInstances) {
        Set<String> next = Set.copyOf(instances);
        known = knownInstances;
        if (!next.equals(live)) {
            live = next;
            otherHashes = next.stream()
                    .filter(name -> !name.equals(self))
                    .mapToLong(SenderRanks::hash)
                    .toArray();
            ranks.clear();
        }
    }

    @Override
    public int rank(EndpointIncarnation endpoint) {
        return ranks.computeIfAbsent(endpoint, this::computeRank);
    }

    private int computeRank(EndpointIncarnation endpoint) {
        long endpointHash = hash(endpoint.id().value()) + endpoint.startedWallMillis() * ODD_MULTIPLIER;
        long own = score(endpointHash, ownHash);
        int rank = 0;
        for (long other : otherHashes) {
            if (score(endpointHash, other) > own) {
                rank++;
            }
        }
        return rank;
    }

    @Override
    public int liveInstances() {
        return otherHashes.length + 1;
    }

    @Override
    public int knownInstances() {
        return Math.max(known, liveInstances());
    }

    /** Forgets the order of endpoints for which {@code endpoints} has no entry. */
    public void retain(Set<EndpointIncarnation> endpoints) {
        ranks.keySet().retainAll(endpoints);
    }

    private static long hash(String name) {
        HashCode code = Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8);
        return code.asLong();
    }

    /** Mixes both hashes with the finalizer of SplitMix64, which spreads each input bit over all output bits. */
    private static long score(long endpointHash, long instanceHash) {
        long mixed = endpointHash ^ (instanceHash * ODD_MULTIPLIER);
        mixed = (mixed ^ (mixed >>> 30)) * FIRST_MIX;
        mixed = (mixed ^ (mixed >>> 27)) * SECOND_MIX;
        return mixed ^ (mixed >>> 31);
    }
}
