package org.jasminehub.entry.relay;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * An endpoint was chosen for an attempt.
 *
 * @param requestId the id of the request
 * @param workspace the workspace of the request
 * @param route the route of the request
 * @param attempt the number of the attempt, counted from 1
 * @param endpoint the chosen endpoint
 * @param estimateMillis the estimated time to the first token, or 0 if there is no estimate
 * @param considered the number of endpoints that were compared
 * @param reason why the endpoint was chosen
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
