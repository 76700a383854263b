package org.jasminehub.core.operation;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** Emitted when the run of an operation has ended, with or without a response of the service. */
public record OperationFinished(String operation, String state, int status) implements Event {
    @Override
    public EventKind kind() {
        return OperationEventKind.OPERATION_FINISHED;
    }
}
