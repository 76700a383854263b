package org.jasminehub.core.operation;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** The run of an operation ended. */
public record OperationFinished(String operation, String state, int status) implements Event {
    @Override
    public EventKind kind() {
        return OperationEventKind.OPERATION_FINISHED;
    }
}
