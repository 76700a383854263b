package org.jasminehub.core.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.serving.Route;
import org.jasminehub.core.time.Clock;

/**
 * Decides which calls may wait for a place, and when those that may not come back.
 *
 * <p>Load pattern: more calls arrive than end. A line then grows until every call in it waits as long as it may and is
 * refused all the same; and callers that are all told the same time come back together. A call is therefore refused at
 * once where the line ahead of it cannot be gone in time, and told the time in which the line will be, spread a little.
 *
 * <p>The line's speed is how many calls of this instance ended in the last second. Not safe for use by several threads.
 */
public final class WaitingLinePolicy {
    /** Long enough for several endings at usual load, short enough to follow a stall. */
    private static final long WINDOW_MILLIS = 1_000;

    /** A line is often faster than its speed of late; only calls that would wait this many times too long are refused. */
    private static final double DOUBT_FACTOR = 2;

    /** The shortest time to come back: a caller that comes too soon and is refused again may not come a third time. */
    private static final long MIN_RETURN_MILLIS = 600;

    /** The longest: an engine that crashed is back in a few seconds. */
    private static final long MAX_RETURN_MILLIS = 3_000;

    /** Where nothing ended of late: about the time in which a group of engines forms anew. */
    private static final long STALLED_RETURN_MILLIS = 2_000;

    /** The part of the target latency that a call may wait; the rest is for the endpoint's first answer. */
    private static final double WAITING_SHARE = 0.6;

    /** The part of the time it has left that a caller who came back may wait: it is late in any case. */
    private static final double RETURNED_SHARE = 0.25;

    /** The longest such wait: about the time in which an engine finishes a stream. */
    private static final long MAX_RETURNED_WAIT_MILLIS = 1_500;

    /** Times to come back differ by this part, so that callers refused together return one after the other. */
    private static final double SPREAD = 0.3;

    private final Clock clock;
    private final Deque<Long> endings = new ArrayDeque<>();

    /** Creates a policy for a line that has not moved yet. */
    public WaitingLinePolicy(Clock clock) {
        this.clock = clock;
    }

    /** Notes that a call ended and left its place free. */
    public void onEnded() {
        endings.addLast(clock.monotonicMillis());
        forgetOld();
    }

    /**
     * Returns whether a caller has come back after a refusal: it allowed the route's whole time when it came first.
     *
     * @param allowedMillis the time that the call had when it arrived, at most the route's
     */
    public static boolean hasReturned(Route route, long allowedMillis) {
        return allowedMillis < route.timeoutMillis() - route.targetLatencyMillis();
    }

    /**
     * Returns how long a call may wait for a place, counted from its arrival. One that has come back has missed its
     * target; it may wait longer, since a second refusal is often the last.
     */
    public static long waitMillis(Route route, long allowedMillis) {
        return hasReturned(route, allowedMillis)
                ? (long) Math.min(MAX_RETURNED_WAIT_MILLIS, RETURNED_SHARE * allowedMillis)
                : (long) (WAITING_SHARE * route.targetLatencyMillis());
    }

    /**
     * Returns whether a call may get a place in time.
     *
     * @param ahead calls that are before it in line
     * @param leftMillis how long it may wait
     */
    public boolean mayWait(int ahead, long leftMillis) {
        forgetOld();
        if (leftMillis <= 0) {
            return false;
        }
        // Where nothing ended of late nothing is known of the line's speed.
        return endings.isEmpty() || expectedMillis(ahead) <= DOUBT_FACTOR * leftMillis;
    }

    /**
     * Returns when a refused caller should come back.
     *
     * @param waiting calls that are in line now
     * @param position where in the spread this caller falls, from 0 (included) to 1 (excluded)
     */
    public long returnMillis(int waiting, double position) {
        Checks.inRange("position", position, 0, 1);
        forgetOld();
        double millis = endings.isEmpty() ? STALLED_RETURN_MILLIS : expectedMillis(waiting);
        double spread = 1 + SPREAD * (2 * position - 1);
        return Math.round(Math.max(MIN_RETURN_MILLIS, Math.min(MAX_RETURN_MILLIS, millis)) * spread);
    }

    private double expectedMillis(int ahead) {
        return (ahead + 1.0) * WINDOW_MILLIS / endings.size();
    }

    private void forgetOld() {
        long fromMillis = clock.monotonicMillis() - WINDOW_MILLIS;
        while (!endings.isEmpty() && endings.getFirst() < fromMillis) {
            endings.removeFirst();
        }
    }
}
