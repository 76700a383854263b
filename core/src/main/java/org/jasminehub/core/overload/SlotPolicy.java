package org.jasminehub.core.overload;

import java.util.Set;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jasminehub.core.time.Clock;

/**
 * Decides whether a call may take a free slot of its service now, or leaves it to calls of higher priority that wait at
 * other instances.
 *
 * <p>Load pattern: a burst of the lowest traffic class coincides with one of the highest. Each of 43 or 68 instances has
 * a handful of slots and often a single call in its queue. Most freed slots are seen first by an instance where only
 * calls of the lowest class wait, so without this rule they get the slots while calls of the highest class are refused
 * elsewhere.
 *
 * <p>Two rules bound the order by priority:
 *
 * <ul>
 *   <li>A slot is left to others for one to two status intervals. An instance with waiting calls takes it within that
 *       time if it can; it may be unable to, for example because the route of its calls has a stricter limit.
 *   <li>Each priority with demand gets at least a quarter of the share that it would get if all calls were equal.
 * </ul>
 *
 * <p>Not thread-safe.
 */
final class SlotPolicy {
    /** Share of equal treatment that is guaranteed to each priority. */
    static final double GUARANTEED_SHARE = 0.25;

    /**
     * Share of equal treatment above which the guarantee has no effect. Between the two shares the probability falls
     * gradually, so that the instances, which all see the same old figures, do not switch together.
     */
    private static final double COMFORTABLE_SHARE = 0.4;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Clock clock;
    private final RandomGenerator random;
    private final SlotShares shares;
    private Set<Integer> due = Set.of();
    private long drawnMillis = NEVER;
    private long windowStartMillis = NEVER;
    private int leastFree;
    private int released;
    private long left;

    SlotPolicy(Clock clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
        this.shares = new SlotShares(clock, random);
    }

    /**
     * Returns the priorities that go before higher ones at present, because they get too few slots. They are drawn once
     * in each status interval.
     */
    Set<Integer> duePriorities(QueueStatus fleet, long statusIntervalMillis) {
        long nowMillis = clock.monotonicMillis();
        if (nowMillis - drawnMillis >= statusIntervalMillis) {
            drawnMillis = nowMillis;
            due = IntStream.range(0, PriorityCounts.PRIORITIES)
                    .filter(priority -> random.nextDouble() < dueProbability(priority, fleet))
                    .boxed()
                    .collect(Collectors.toUnmodifiableSet());
        }
        return due;
    }

    private static double dueProbability(int priority, QueueStatus fleet) {
        double equalShare = fleet.demandShare(priority);
        double started = fleet.started().total();
        if (priority == 0 || equalShare == 0 || started == 0 || fleet.waiting().above(priority) == 0) {
            return 0;
        }
        double treatment = fleet.started().get(priority) / started / equalShare;
        return (COMFORTABLE_SHARE - treatment) / (COMFORTABLE_SHARE - GUARANTEED_SHARE);
    }

    /**
     * Returns whether a call may take a slot.
     *
     * @param ahead the number of calls that should get a slot before it and need one that this instance knows of
     * @param equalElsewhere the number of calls at other instances that are its equals
     * @param equalHere the number of calls of this instance that are its equals, including it
     * @param freeSlots the number of slots that are free as far as this instance knows
     */
    boolean mayTake(double ahead, int equalElsewhere, int equalHere, IntSupplier freeSlots, long statusIntervalMillis) {
        if (ahead + equalElsewhere <= 0) {
            return true;
        }
        int free = freeSlots.getAsInt();
        if (free > ahead + equalElsewhere) {
            return true;
        }
        if (ahead < 1) {
            return free > 0
                    && shares.tryTake(free, (double) equalHere / (equalHere + equalElsewhere), statusIntervalMillis);
        }
        observe(free, statusIntervalMillis);
        if (free <= 0) {
            return false;
        }
        if (released > 0) {
            released--;
            return true;
        }
        shares.onLeft();
        left++;
        return false;
    }

    void onTaken() {
        shares.onTaken();
    }

    void onFreed() {
        shares.onFreed();
    }

    /** Releases the slots that stayed free for a whole window, since nobody seems to be able to use them. */
    private void observe(int free, long holdMillis) {
        long nowMillis = clock.monotonicMillis();
        long elapsedMillis = nowMillis - windowStartMillis;
        if (elapsedMillis < holdMillis) {
            leastFree = Math.min(leastFree, free);
            return;
        }
        // Without an observation for a whole window it is unknown whether the slots were free all the time.
        released = elapsedMillis < 2 * holdMillis ? Math.min(leastFree, free) : 0;
        windowStartMillis = nowMillis;
        leastFree = free;
    }

    /** Returns how often a free slot was left to calls that wait elsewhere. */
    long left() {
        return left;
    }
}
