package org.jasminehub.core.operation;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** An agent gave an operation to its service. */
public record OperationStarted(String operation, String agent, long epoch) implements Event {
    @Override
    public EventKind kind() {
        return OperationEventKind.OPERATION_STARTED;
    }
}
