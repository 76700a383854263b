package org.jasminehub.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.identity.WorkspaceId;

/**
 * Spreads the times at which refused callers come back, so that they arrive no faster than their workspace is served.
 *
 * <p>Not safe for use by several threads.
 */
final class RetryTimes {
    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    private final long maxRetryAfterMillis;
    private final Map<WorkspaceId, Long> nextFreeMillis = new HashMap<>();

    RetryTimes(long maxRetryAfterMillis) {
        this.maxRetryAfterMillis = maxRetryAfterMillis;
    }

    /**
     * Returns when the caller should come back, from now.
     *
     * @param workspace the caller's workspace
     * @param nowMillis the present time
     * @param waitMillis until when the endpoint has no place for the request
     * @param serviceMillis how long the workspace's share of the endpoint is taken by the request
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
