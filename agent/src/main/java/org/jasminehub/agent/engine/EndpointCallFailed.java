package org.jasminehub.agent.engine;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * Emitted when the endpoint did not send a complete response to a call.
 *
 * @param requestId the id of the request
 * @param attempt the number of the attempt, counted from 1
 * @param reason a description of the failure
 */
public record EndpointCallFailed(String requestId, int attempt, String reason) implements Event {
    @Override
    public EventKind kind() {
        return EngineEventKind.ENDPOINT_CALL_FAILED;
    }
}
