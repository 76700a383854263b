package org.jasminehub.core.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jasminehub.core.serving.EngineProfile;
import org.jasminehub.core.time.Clock;

/**
 * Limits the concurrent calls at the engines of a service so that the gaps between stream events stay within a bound.
 *
 * <p>The engines of a group finish each pass together, and each running call makes the pass longer. After a shift of
 * expert demand, while experts are copied, or with one slow rank, a pass with the same number of calls takes several
 * times as long, and all open streams exceed the bound at once. With fewer concurrent calls, more streams stay within
 * the bound.
 *
 * <p>The duration of a pass is estimated from the gaps between events of open streams. The part above the fixed cost of
 * a pass is assumed to be proportional to the number of running calls.
 *
 * <p>Not thread-safe.
 */
public final class StreamConcurrencyLimit {
    /** Period over which gaps are averaged: two or three passes of a loaded group. */
    private static final long WINDOW_MILLIS = 250;

    /** Events closer together than this arrived in one packet, so their gap does not measure a pass. */
    private static final long MIN_GAP_MILLIS = 4;

    /** Share of the longest allowed gap used as the target, because passes that also process prompts take longer. */
    private static final double TARGET_GAP_SHARE = 0.85;

    /**
     * Upper bound on the mean gap, as a multiple of the allowed gap. The gaps of a stalled group do not show how many
     * calls it can run.
     */
    private static final double MAX_GAP_FACTOR = 2;

    /**
     * Load of the most loaded rank relative to the mean, right after a shift of expert demand. Observed values are
     * 2.0 to 3.4.
     */
    private static final double SKEW_AFTER_SHIFT = 3;

    /** Lower bound on the limit, however slow the engine is: with fewer calls it would be idle between two calls. */
    private static final double MIN_CALLS_PER_SLOT = 0.35;

    /** Below this load, the duration of a pass does not show how much one call adds to it. */
    private static final double MIN_MEASURABLE_OPEN_PER_SLOT = 0.1;

    private record EventGap(long observedMillis, long gapMillis) {}

    private final Clock clock;
    private final Deque<EventGap> gaps = new ArrayDeque<>();
    private long gapSumMillis;

    /** Creates a limit without measurements. */
    public StreamConcurrencyLimit(Clock clock) {
        this.clock = clock;
    }

    /** Records the time between two events of a stream. */
    public void onEventGap(long gapMillis) {
        if (gapMillis >= MIN_GAP_MILLIS) {
            gaps.addLast(new EventGap(clock.monotonicMillis(), gapMillis));
            gapSumMillis += gapMillis;
        }
        removeExpiredGaps();
    }

    /**
     * Returns how many calls may be open per slot, at most 1.
     *
     * @param maxGapMillis the longest allowed gap between two events, 0 for no bound
     * @param openPerSlot the number of currently open calls per slot
     */
    public double callsPerSlot(EngineProfile engine, long maxGapMillis, double openPerSlot) {
        if (maxGapMillis <= 0) {
            return 1;
        }
        double bound = Math.min(1, callsPerSlotAfterShift(engine, maxGapMillis));
        removeExpiredGaps();
        if (gaps.isEmpty() || openPerSlot < MIN_MEASURABLE_OPEN_PER_SLOT) {
            return bound;
        }
        double fixedMillis = engine.stepMillis() * engine.stepsPerPass();
        double passMillis = Math.min((double) gapSumMillis / gaps.size(), MAX_GAP_FACTOR * maxGapMillis);
        double variableMillis = passMillis - fixedMillis;
        if (variableMillis <= 0) {
            return bound;
        }
        double limit = (TARGET_GAP_SHARE * maxGapMillis - fixedMillis) / variableMillis * openPerSlot;
        return Math.max(MIN_CALLS_PER_SLOT, Math.min(bound, limit));
    }

    /**
     * Returns the number of calls per slot that still meets the bound on gaps after the next shift of expert demand.
     * Running calls cannot be withdrawn when demand shifts, so this limit always applies.
     */
    private static double callsPerSlotAfterShift(EngineProfile engine, long maxGapMillis) {
        double expertShare = engine.experts().workShare();
        double variableMillis = engine.stepsPerPass()
                * engine.stepMillisPerRequest()
                * engine.slots()
                * (1 - expertShare + expertShare * SKEW_AFTER_SHIFT);
        double availableMillis = TARGET_GAP_SHARE * maxGapMillis - engine.stepMillis() * engine.stepsPerPass();
        return variableMillis <= 0 ? 1 : Math.max(MIN_CALLS_PER_SLOT, availableMillis / variableMillis);
    }

    private void removeExpiredGaps() {
        long windowStartMillis = clock.monotonicMillis() - WINDOW_MILLIS;
        EventGap oldest = gaps.peekFirst();
        while (oldest != null && oldest.observedMillis() < windowStartMillis) {
            gapSumMillis -= oldest.gapMillis();
            gaps.removeFirst();
            oldest = gaps.peekFirst();
        }
    }
}
