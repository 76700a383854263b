package org.jasminehub.core.operation;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** Emitted when an agent starts an operation, just before it sends the request to its service. */
public record OperationStarted(String operation, String agent, long epoch) implements Event {
    @Override
    public EventKind kind() {
        return OperationEventKind.OPERATION_STARTED;
    }
}
