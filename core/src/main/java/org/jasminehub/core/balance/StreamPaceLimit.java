package org.jasminehub.core.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jasminehub.core.serving.EngineProfile;
import org.jasminehub.core.time.Clock;

/**
 * How many calls the engines of a service may run so that their streams do not pause too long.
 *
 * <p>Load pattern: the engines of a group finish a pass together, and each call that runs makes a pass longer. After a
 * shift of expert demand, while experts are copied or with one slow rank, the same number of calls takes several times
 * as long; then all open streams pause too long at once. Fewer calls at a time let more of them be in time.
 *
 * <p>The time of a pass is what open streams show between two events. What is above the fixed part of a pass is taken to
 * grow with the calls that run. Not safe for use by several threads.
 */
public final class StreamPaceLimit {
    /** Two or three passes of a loaded group. */
    private static final long WINDOW_MILLIS = 250;

    /** Events closer than this came in one packet and tell nothing of a pass. */
    private static final long MIN_PAUSE_MILLIS = 4;

    /** Part of the longest pause that is aimed at; passes differ by the prompts that are read in between. */
    private static final double AIMED_SHARE = 0.85;

    /** A group that stands still says nothing of how many calls it can run; its pauses count up to this many times. */
    private static final double MAX_PAUSE_FACTOR = 2;

    /**
     * How many times the mean the most loaded rank has right after a shift of expert demand. Measured after the shifts of
     * recorded days: 2.0 to 3.4.
     */
    private static final double SHIFTED_SKEW = 3;

    /** However slow, an engine gets this part of its slots: with less it would stand idle between two calls. */
    private static final double MIN_CALLS_PER_SLOT = 0.35;

    /** Below this load the time of a pass says nothing of what a call adds. */
    private static final double MIN_OPEN_PER_SLOT = 0.1;

    private record Pause(long seenMillis, long pauseMillis) {}

    private final Clock clock;
    private final Deque<Pause> pauses = new ArrayDeque<>();
    private long sumMillis;

    /** Creates a limit that has seen no stream. */
    public StreamPaceLimit(Clock clock) {
        this.clock = clock;
    }

    /** Notes the time between two events of a stream. */
    public void onPause(long pauseMillis) {
        if (pauseMillis >= MIN_PAUSE_MILLIS) {
            pauses.addLast(new Pause(clock.monotonicMillis(), pauseMillis));
            sumMillis += pauseMillis;
        }
        forgetOld();
    }

    /**
     * Returns how many calls may be open for each slot, at most 1.
     *
     * @param maxPauseMillis the longest pause that is in time, 0 where there is no bound
     * @param openPerSlot the calls that are open at present, for each slot
     */
    public double callsPerSlot(EngineProfile engine, long maxPauseMillis, double openPerSlot) {
        if (maxPauseMillis <= 0) {
            return 1;
        }
        double bound = Math.min(1, afterShift(engine, maxPauseMillis));
        forgetOld();
        if (pauses.isEmpty() || openPerSlot < MIN_OPEN_PER_SLOT) {
            return bound;
        }
        double fixedMillis = engine.stepMillis() * engine.stepsPerPass();
        double passMillis = Math.min((double) sumMillis / pauses.size(), MAX_PAUSE_FACTOR * maxPauseMillis);
        double addedMillis = passMillis - fixedMillis;
        if (addedMillis <= 0) {
            return bound;
        }
        double limit = (AIMED_SHARE * maxPauseMillis - fixedMillis) / addedMillis * openPerSlot;
        return Math.max(MIN_CALLS_PER_SLOT, Math.min(bound, limit));
    }

    /**
     * Returns how many calls for each slot still pause in time after the next shift of demand. Calls that run cannot be
     * taken back then, so this bound holds at all times.
     */
    private static double afterShift(EngineProfile engine, long maxPauseMillis) {
        double share = engine.experts().workShare();
        double addedMillis = engine.stepsPerPass()
                * engine.stepMillisPerRequest()
                * engine.slots()
                * (1 - share + share * SHIFTED_SKEW);
        double leftMillis = AIMED_SHARE * maxPauseMillis - engine.stepMillis() * engine.stepsPerPass();
        return addedMillis <= 0 ? 1 : Math.max(MIN_CALLS_PER_SLOT, leftMillis / addedMillis);
    }

    private void forgetOld() {
        long fromMillis = clock.monotonicMillis() - WINDOW_MILLIS;
        Pause oldest = pauses.peekFirst();
        while (oldest != null && oldest.seenMillis() < fromMillis) {
            sumMillis -= oldest.pauseMillis();
            pauses.removeFirst();
            oldest = pauses.peekFirst();
        }
    }
}
