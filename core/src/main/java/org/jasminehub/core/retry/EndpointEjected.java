package org.jasminehub.core.retry;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * An endpoint was ejected temporarily because it failed far more often than the others.
 *
 * @param endpoint the endpoint
 * @param failures the number of failed attempts in the window
 * @param attempts the number of attempts in the window
 * @param ejectedMillis the duration of the ejection
 */
public record EndpointEjected(String endpoint, int failures, int attempts, long ejectedMillis) implements Event {
    @Override
    public EventKind kind() {
        return RetryEventKind.ENDPOINT_EJECTED;
    }
}
