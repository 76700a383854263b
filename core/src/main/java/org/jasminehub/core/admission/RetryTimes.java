package org.jasminehub.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.identity.WorkspaceId;

/**
 * Assigns retry times to refused callers so that callers of a workspace return no faster than the workspace is served.
 *
 * <p>Not thread-safe.
 */
final class RetryTimes {
    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    private final long maxRetryAfterMillis;
    private final Map<WorkspaceId, Long> nextFreeMillis = new HashMap<>();

    RetryTimes(long maxRetryAfterMillis) {
        this.maxRetryAfterMillis = maxRetryAfterMillis;
    }

    /**
     * Reserves a retry time and returns the time until then.
     *
     * @param workspace the workspace of the caller
     * @param nowMillis the current time
     * @param waitMillis the time until the endpoint has room for the request
     * @param serviceMillis how long the request occupies the workspace's share of the endpoint
     */
    long reserve(WorkspaceId workspace, long nowMillis, double waitMillis, double serviceMillis) {
        nextFreeMillis.values().removeIf(millis -> millis <= nowMillis);
        long earliestMillis = nowMillis + (long) Math.ceil(waitMillis);
        long startMillis = Math.max(earliestMillis, nextFreeMillis.getOrDefault(workspace, earliestMillis));
        long latestMillis = nowMillis + maxRetryAfterMillis;
        nextFreeMillis.put(workspace, Math.min(latestMillis, startMillis + (long) Math.ceil(serviceMillis)));
        return Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(latestMillis, startMillis) - nowMillis);
    }
}
