package org.jasminehub.core.balance;

import org.jasminehub.core.serving.Route;

/**
 * Decides whether a call may be sent once more.
 *
 * <p>A call with effects is sent again only after proof that it did not run. Every other call is sent again while its
 * route's attempts, its time and the budget last.
 */
public final class RepeatPolicy {
    /** With less time than this an answer cannot come back over two hops and be of use. */
    private static final long MIN_REMAINING_MILLIS = 60;

    /** Sends that were rejected do not count as runs; this bounds how often a call may be passed around. */
    private static final int MAX_SENDS = 4;

    private RepeatPolicy() {}

    /**
     * Returns whether a repeat is allowed, the budget aside.
     *
     * @param runs how many endpoints may have run the call so far
     * @param sends how often it was sent so far
     */
    public static boolean mayRepeat(Route route, AttemptEnd end, int runs, int sends, long remainingMillis) {
        if (remainingMillis < MIN_REMAINING_MILLIS || sends >= MAX_SENDS || runs >= route.maxAttempts()) {
            return false;
        }
        return end.isNotRun() || route.mayRepeat();
    }
}
