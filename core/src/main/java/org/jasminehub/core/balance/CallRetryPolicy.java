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
     * @param failedRuns the number of attempts so far that endpoints may have run and that failed; an attempt that was
     *     ended here because another one continued the stream is not one of them
     * @param sends how often the call was sent so far
     */
    public static boolean mayRetry(Route route, AttemptEnd end, int failedRuns, int sends, long remainingMillis) {
        if (remainingMillis < MIN_REMAINING_MILLIS || sends >= MAX_SENDS || failedRuns >= route.maxAttempts()) {
            return false;
        }
        return end.isNotRun() || route.mayRetry();
    }

    /**
     * Returns whether a call may be sent to an endpoint. The route limits the number of endpoints that may run a call, not
     * the number of sends; once that number is reached, only endpoints that did not fail the call may get it again.
     *
     * @param endpoints the number of endpoints that may have run the call or may be running it
     * @param isOneOfThem whether the endpoint is one of these
     * @param hasFailed whether the endpoint may have run the call and failed it
     */
    public static boolean mayUse(Route route, int endpoints, boolean isOneOfThem, boolean hasFailed) {
        return endpoints < route.maxAttempts() || (isOneOfThem && !hasFailed);
    }
}
