package org.jasminehub.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.jasminehub.core.identity.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * The newest known fact about each member.
 *
 * <p>Members are divided into buckets. Two instances compare the digests of their buckets and exchange only the facts
 * of the buckets that differ.
 *
 * <pre>{@code
 * if (facts.merge(fact)) {
 *     gossip.add(fact);
 * }
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class MemberFacts {
    private static final int BUCKET_COUNT = 64;

    private final Map<InstanceId, MemberFact> facts = new HashMap<>();
    private final long[] digests = new long[BUCKET_COUNT];

    /** Merges a fact and returns whether it changed the known facts. */
    public boolean merge(MemberFact fact) {
        @Nullable MemberFact known = facts.get(fact.id());
        MemberFact merged = known == null ? fact : known.merge(fact);
        if (merged.equals(known)) {
            return false;
        }
        if (known != null) {
            toggleInDigest(known);
        }
        toggleInDigest(merged);
        facts.put(fact.id(), merged);
        return true;
    }

    /** Returns the newest fact about {@code id}. */
    public Optional<MemberFact> get(InstanceId id) {
        return Optional.ofNullable(facts.get(id));
    }

    /** Returns all facts. */
    public Collection<MemberFact> all() {
        return List.copyOf(facts.values());
    }

    /** Removes the facts about the members for which {@code isObsolete} returns true. */
    public void removeIf(Predicate<InstanceId> isObsolete) {
        List<MemberFact> obsolete = facts.values().stream()
                .filter(fact -> isObsolete.test(fact.id()))
                .toList();
        for (MemberFact fact : obsolete) {
            toggleInDigest(fact);
            facts.remove(fact.id());
        }
    }

    /** Returns the digest of each bucket; equal facts result in equal digests. */
    public List<Long> digests() {
        return Arrays.stream(digests).boxed().toList();
    }

    /** Returns the facts in the buckets whose digests differ from {@code others}. */
    public List<MemberFact> inDifferingBuckets(List<Long> others) {
        return facts.values().stream()
                .filter(fact -> !others.get(bucket(fact)).equals(digests[bucket(fact)]))
                .toList();
    }

    /** Adds the fact to the digest of its bucket or removes it; XOR makes both operations the same. */
    private void toggleInDigest(MemberFact fact) {
        String text = fact.id() + " " + fact.incarnation() + " " + fact.state();
        digests[bucket(fact)] ^=
                Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    private static int bucket(MemberFact fact) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(fact.id().value(), StandardCharsets.UTF_8)
                .asInt();
        return Math.floorMod(hash, BUCKET_COUNT);
    }
}
