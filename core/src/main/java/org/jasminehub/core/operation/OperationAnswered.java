package org.jasminehub.core.operation;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** Emitted when an agent answers a request from its records or refuses it, without running the operation. */
public record OperationAnswered(String operation, String agent, String outcome, String code) implements Event {
    @Override
    public EventKind kind() {
        return OperationEventKind.OPERATION_ANSWERED;
    }
}
