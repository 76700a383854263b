package org.jasminehub.core.operation;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** An entry instance gave a caller the final answer about an operation. */
public record OperationConcluded(String operation, String outcome, String code, int homesAsked) implements Event {
    @Override
    public EventKind kind() {
        return OperationEventKind.OPERATION_CONCLUDED;
    }
}
