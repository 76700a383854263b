package org.jasminehub.core.retry;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * An endpoint is left out for a while, since it failed far more often than the others.
 *
 * @param endpoint the endpoint
 * @param failures how many attempts failed in the window
 * @param attempts how many attempts were made in the window
 * @param ejectedMillis for how long it is left out
 */
public record EndpointEjected(String endpoint, int failures, int attempts, long ejectedMillis) implements Event {
    @Override
    public EventKind kind() {
        return RetryEventKind.ENDPOINT_EJECTED;
    }
}
