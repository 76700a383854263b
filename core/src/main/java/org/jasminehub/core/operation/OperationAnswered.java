package org.jasminehub.core.operation;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** An agent answered about an operation without running it. */
public record OperationAnswered(String operation, String agent, String outcome, String code) implements Event {
    @Override
    public EventKind kind() {
        return OperationEventKind.OPERATION_ANSWERED;
    }
}
