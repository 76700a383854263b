package org.jasminehub.entry.relay;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * A request is tried again at another endpoint.
 *
 * @param requestId the request
 * @param endpoint the endpoint that failed it
 * @param attempt the attempt that failed, counted from 1
 * @param code why it failed
 * @param outcome what is known of the failed attempt's effect
 */
public record AttemptRetried(String requestId, String endpoint, int attempt, String code, String outcome)
        implements Event {
    @Override
    public EventKind kind() {
        return RelayEventKind.ATTEMPT_RETRIED;
    }
}
