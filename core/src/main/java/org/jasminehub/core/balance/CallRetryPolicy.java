package org.jasminehub.core.balance;

import org.jasminehub.core.serving.Route;

/**
 * Decides whether a call may be retried.
 *
 * <p>An unsafe call is retried only after proof that it did not run. Any other call is retried as long as
 * attempts of its route, time before its deadline and the retry budget remain.
 */
public final class CallRetryPolicy {
    /** With less time left than this, a response cannot arrive over two hops before the deadline. */
    private static final long MIN_REMAINING_MILLIS = 60;

    /** Rejected sends do not count as runs, so this limit bounds how often a call is forwarded. */
    private static final int MAX_SENDS = 4;

    private CallRetryPolicy() {}

    /**
     * Returns whether a retry is allowed, apart from the retry budget.
     *
     * @param runs the number of endpoints that may have run the call so far
     * @param sends how often the call was sent so far
     */
    public static boolean mayRetry(Route route, AttemptEnd end, int runs, int sends, long remainingMillis) {
        if (remainingMillis < MIN_REMAINING_MILLIS || sends >= MAX_SENDS || runs >= route.maxAttempts()) {
            return false;
        }
        return end.isNotRun() || route.mayRetry();
    }
}
