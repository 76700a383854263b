package org.jasminehub.core.balance;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.time.Clock;

/**
 * Decides which peers get a copy of the configuration from this instance.
 *
 * <p>Load pattern: the operator publishes versions in quick succession, of a configuration with many routes. Every peer
 * reads them by itself and is a version behind for a moment. If each instance sent the configuration to each peer that is
 * behind, copies would use up links and processors just when all instances have to read it. A copy is therefore sent to a
 * peer that stays behind, or that knows no configuration, and first by two instances.
 *
 * <p>Not thread-safe.
 */
public final class ConfigurationCopyPolicy {
    /** A peer that reaches the store has read a version within this time: a batch of records and a slow answer. */
    static final long READ_MILLIS = 700;

    /** If a peer is still behind after this time, its two senders have failed and every instance sends a copy. */
    static final long SENDERS_FAILED_MILLIS = 1_500;

    /** Time in which a copy of a large configuration arrives and shows in the peer's status. */
    static final long REPEAT_MILLIS = 1_000;

    private static final int SENDERS = 2;

    private record Applied(long version, long appliedMillis) {}

    private final Clock clock;
    private final String self;
    private final Deque<Applied> applied = new ArrayDeque<>();
    private final Map<String, Long> sentMillis = new HashMap<>();
    private final Map<String, Long> unconfiguredSinceMillis = new HashMap<>();

    /** Creates a policy for the instance {@code self}, which knows no configuration. */
    public ConfigurationCopyPolicy(String self, Clock clock) {
        this.self = self;
        this.clock = clock;
    }

    /** Records that {@code version} is in force here. */
    public void onInForce(long version) {
        Applied last = applied.peekLast();
        if (last == null || last.version() < version) {
            applied.addLast(new Applied(version, clock.monotonicMillis()));
        }
        long oldestMillis = clock.monotonicMillis() - SENDERS_FAILED_MILLIS;
        while (applied.size() > 1 && secondAppliedMillis() <= oldestMillis) {
            applied.removeFirst();
        }
    }

    private long secondAppliedMillis() {
        return applied.stream().skip(1).findFirst().orElseThrow().appliedMillis();
    }

    /**
     * Returns whether a copy is to be sent to {@code peer} now, and records that it is.
     *
     * @param peerVersion the version that the peer has in force, 0 if it knows none
     * @param instances the names of the instances that may send copies
     */
    public boolean trySend(String peer, long peerVersion, Collection<String> instances) {
        long nowMillis = clock.monotonicMillis();
        long behindMillis = behindMillis(peer, peerVersion, nowMillis);
        long requiredMillis = isSender(peer, instances)
                ? (peerVersion == 0 ? 0 : READ_MILLIS)
                : peerVersion == 0 ? READ_MILLIS : SENDERS_FAILED_MILLIS;
        Long lastMillis = sentMillis.get(peer);
        if (behindMillis < requiredMillis || (lastMillis != null && nowMillis - lastMillis < REPEAT_MILLIS)) {
            return false;
        }
        sentMillis.put(peer, nowMillis);
        return true;
    }

    /** Returns for how long this instance has had a newer version than the peer, -1 if it has none. */
    private long behindMillis(String peer, long peerVersion, long nowMillis) {
        if (peerVersion == 0 && !applied.isEmpty()) {
            return nowMillis - unconfiguredSinceMillis.computeIfAbsent(peer, each -> nowMillis);
        }
        unconfiguredSinceMillis.remove(peer);
        return applied.stream()
                .filter(each -> each.version() > peerVersion)
                .findFirst()
                .map(each -> nowMillis - each.appliedMillis())
                .orElse(-1L);
    }

    private boolean isSender(String peer, Collection<String> instances) {
        return instances.stream()
                .filter(instance -> !instance.equals(peer))
                .sorted(Comparator.comparingInt((String instance) -> (peer + "/" + instance).hashCode())
                        .thenComparing(Comparator.naturalOrder()))
                .limit(SENDERS)
                .anyMatch(self::equals);
    }
}
