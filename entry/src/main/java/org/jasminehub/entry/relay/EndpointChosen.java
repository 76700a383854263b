package org.jasminehub.entry.relay;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * An endpoint was chosen for an attempt.
 *
 * @param requestId the request
 * @param workspace its workspace
 * @param route its route
 * @param attempt the attempt, counted from 1
 * @param endpoint the endpoint
 * @param estimateMillis the estimated time to the first token, 0 where none is made
 * @param considered how many endpoints were compared
 * @param reason why this one
 */
public record EndpointChosen(
        String requestId,
        String workspace,
        String route,
        int attempt,
        String endpoint,
        double estimateMillis,
        int considered,
        String reason)
        implements Event {
    @Override
    public EventKind kind() {
        return RelayEventKind.ENDPOINT_CHOSEN;
    }
}
