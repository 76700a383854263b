package org.jasminehub.core.balance;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.serving.Route;
import org.jasminehub.core.time.Clock;

/**
 * Decides which calls may wait in the queue for a free slot, and when the callers of refused calls should retry.
 *
 * <p>When calls arrive faster than they complete, an unbounded queue grows until every call waits for its full time
 * limit and is then refused anyway, and callers given the same retry time all return together. A call is therefore
 * refused immediately if the calls ahead of it cannot complete in time. Its caller is asked to retry after the time in
 * which the queue is expected to drain, with some jitter.
 *
 * <p>The drain rate is the number of calls of this instance that ended within the last second.
 *
 * <p>Not thread-safe.
 */
public final class CallQueuePolicy {
    /** Window of the drain rate: long enough for several calls to end at usual load, short enough to detect a stall. */
    private static final long WINDOW_MILLIS = 1_000;

    /**
     * Factor by which the expected wait may exceed the allowed wait before a call is refused: the queue often drains
     * faster than estimated.
     */
    private static final double WAIT_TOLERANCE_FACTOR = 2;

    /** Shortest retry time: a caller that retries too early and is refused again may not try a third time. */
    private static final long MIN_RETRY_AFTER_MILLIS = 600;

    /** Longest retry time before jitter: a crashed engine recovers within a few seconds. */
    private static final long MAX_RETRY_AFTER_MILLIS = 3_000;

    /** Retry time if no call ended recently: about the time in which a group of engines re-forms. */
    private static final long STALLED_RETRY_AFTER_MILLIS = 2_000;

    /** Share of the target latency that a call may spend waiting; the rest is left for the start of the response. */
    private static final double FIRST_WAIT_SHARE = 0.6;

    /** Share of its allowed time that a retried call may spend waiting; it has already missed its target latency. */
    private static final double RETRY_WAIT_SHARE = 0.25;

    /** Longest wait of a retried call: about the time in which an engine finishes a stream. */
    private static final long MAX_RETRY_WAIT_MILLIS = 1_500;

    /** Relative jitter of retry times, so that callers refused together do not all retry at the same time. */
    private static final double JITTER = 0.3;

    /** The earliest time at which any refused caller is told to retry. */
    public static final long EARLIEST_RETRY_MILLIS = (long) (MIN_RETRY_AFTER_MILLIS * (1 - JITTER));

    private final Clock clock;
    private final Deque<Long> endTimesMillis = new ArrayDeque<>();

    /** Creates a policy that has recorded no calls yet. */
    public CallQueuePolicy(Clock clock) {
        this.clock = clock;
    }

    /** Records that a call ended and freed its slot. */
    public void onEnded() {
        endTimesMillis.addLast(clock.monotonicMillis());
        removeExpired();
    }

    /**
     * Returns whether a call is a retry by a caller that was refused before. A caller allows the full time limit of the
     * route on its first attempt, and less on a retry.
     *
     * @param allowedMillis the time limit of the call on arrival, at most that of the route
     */
    public static boolean isCallerRetry(Route route, long allowedMillis) {
        return allowedMillis < route.timeoutMillis() - route.targetLatencyMillis();
    }

    /**
     * Returns how long a call may wait for a slot, counted from its arrival. A retried call has already missed its
     * target latency; it may wait longer, since callers often give up after a second refusal.
     */
    public static long maxWaitMillis(Route route, long allowedMillis) {
        return isCallerRetry(route, allowedMillis)
                ? (long) Math.min(MAX_RETRY_WAIT_MILLIS, RETRY_WAIT_SHARE * allowedMillis)
                : (long) (FIRST_WAIT_SHARE * route.targetLatencyMillis());
    }

    /**
     * Returns whether a call may wait because it can be expected to get a slot in time.
     *
     * @param ahead the number of calls ahead of it in the queue
     * @param leftMillis how much longer it may wait
     */
    public boolean mayWait(int ahead, long leftMillis) {
        removeExpired();
        if (leftMillis <= 0) {
            return false;
        }
        // If no call ended recently, the drain rate is unknown.
        return endTimesMillis.isEmpty() || isAcceptableWait(expectedWaitMillis(ahead), leftMillis);
    }

    /** Returns whether a call that may wait {@code leftMillis} may join a queue with this expected wait. */
    public static boolean isAcceptableWait(double expectedMillis, long leftMillis) {
        return expectedMillis <= WAIT_TOLERANCE_FACTOR * leftMillis;
    }

    /**
     * Returns the time after which a refused caller should retry.
     *
     * @param waiting the number of calls in the queue
     * @param position the position of this caller within the jitter range, from 0 to 1, both inclusive
     */
    public long retryAfterMillis(int waiting, double position) {
        removeExpired();
        return endTimesMillis.isEmpty()
                ? stalledRetryAfterMillis(position)
                : retryAfterMillis(expectedWaitMillis(waiting), position);
    }

    /** Returns the retry time of a caller that is refused while no calls end. */
    public static long stalledRetryAfterMillis(double position) {
        return retryAfterMillis((double) STALLED_RETRY_AFTER_MILLIS, position);
    }

    /**
     * Returns the retry time, within its bounds, of a caller for which a slot is expected after {@code millis}.
     *
     * @param position the position of this caller within the jitter range, from 0 to 1, both inclusive
     */
    public static long retryAfterMillis(double millis, double position) {
        Checks.inRange("position", position, 0, 1);
        double jitter = 1 + JITTER * (2 * position - 1);
        return Math.round(Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, millis)) * jitter);
    }

    private double expectedWaitMillis(int ahead) {
        return (ahead + 1.0) * WINDOW_MILLIS / endTimesMillis.size();
    }

    private void removeExpired() {
        long windowStartMillis = clock.monotonicMillis() - WINDOW_MILLIS;
        while (!endTimesMillis.isEmpty() && endTimesMillis.getFirst() < windowStartMillis) {
            endTimesMillis.removeFirst();
        }
    }
}
