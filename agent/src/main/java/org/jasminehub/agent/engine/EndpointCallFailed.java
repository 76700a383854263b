package org.jasminehub.agent.engine;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * The endpoint gave no whole answer to a call.
 *
 * @param requestId the request
 * @param attempt the attempt, counted from 1
 * @param reason what happened
 */
public record EndpointCallFailed(String requestId, int attempt, String reason) implements Event {
    @Override
    public EventKind kind() {
        return EngineEventKind.ENDPOINT_CALL_FAILED;
    }
}
