package org.jasminehub.core.operation;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** Emitted when an entry instance has determined the final answer to a caller's request. */
public record OperationConcluded(String operation, String outcome, String code, int homesAsked) implements Event {
    @Override
    public EventKind kind() {
        return OperationEventKind.OPERATION_CONCLUDED;
    }
}
