package org.jasminehub.core.overload;

import java.util.random.RandomGenerator;
import org.jasminehub.core.time.Clock;

/**
 * Divides free slots among the instances at which calls of the same priority wait.
 *
 * <p>Load pattern: an instance leaves a slot to calls that wait elsewhere, or ends more calls than it has waiting. With
 * its next status all instances see the free slot at the same time. Without a division each sends a call there, and the
 * endpoint refuses all but one of them.
 *
 * <p>An instance gets the slots that it freed itself, and of those that it sees become free elsewhere a random part in
 * proportion to its waiting calls. What is left after a status interval is divided anew. No messages are exchanged.
 *
 * <p>Not thread-safe.
 */
final class SlotShares {
    private final Clock clock;
    private final RandomGenerator random;
    private long dividedMillis = Long.MIN_VALUE / 2;
    private int knownFree;
    private int own;

    SlotShares(Clock clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
    }

    /** Records that a call of this instance ended. */
    void onFreed() {
        knownFree++;
        own++;
    }

    /** Records that this instance leaves its slots to others, which then compete for them. */
    void onLeft() {
        own = 0;
    }

    /** Records that a call of this instance got a slot. */
    void onTaken() {
        knownFree--;
    }

    /**
     * Returns whether this instance may take a slot, and counts it as taken if so.
     *
     * @param free the number of slots that are free as far as this instance knows
     * @param share the share of this instance in the calls that wait
     */
    boolean tryTake(int free, double share, long statusIntervalMillis) {
        long nowMillis = clock.monotonicMillis();
        if (nowMillis - dividedMillis >= statusIntervalMillis) {
            dividedMillis = nowMillis;
            own = Math.min(own, free);
            own += randomly((free - own) * share);
        } else {
            own += randomly(Math.max(0, free - knownFree) * share);
        }
        knownFree = free;
        own = Math.min(own, free);
        if (own <= 0) {
            return false;
        }
        own--;
        return true;
    }

    private int randomly(double expected) {
        return (int) (expected + random.nextDouble());
    }
}
