package org.jasminehub.gateway.control;

import org.jasminehub.core.ratelimit.StatedRateLimit;
import org.jasminehub.core.serving.EndpointIncarnation;

/** Receives what the responses of endpoints say about rate limits. */
public interface RateLimitObserver {
    /** Called when a response of {@code endpoint} stated {@code limit}. */
    void onStated(EndpointIncarnation endpoint, StatedRateLimit limit);

    /**
     * Called when a response of {@code endpoint} stated no limit.
     *
     * @param sentMillis when its request was sent, by the monotonic clock
     */
    void onNoneStated(EndpointIncarnation endpoint, long sentMillis);
}
