package org.jasminehub.entry.relay;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * A request is retried at another endpoint after a failed attempt.
 *
 * @param requestId the id of the request
 * @param endpoint the endpoint of the failed attempt
 * @param attempt the number of the failed attempt, counted from 1
 * @param code the code of the failure
 * @param outcome whether the failed attempt ran, as far as it is known
 */
public record AttemptRetried(String requestId, String endpoint, int attempt, String code, String outcome)
        implements Event {
    @Override
    public EventKind kind() {
        return RelayEventKind.ATTEMPT_RETRIED;
    }
}
