package org.jasminehub.core.operation;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** Emitted when an agent has handed keys over to their new home. */
public record HandoverGiven(String service, String agent, String successor, long epoch, int operationCount)
        implements Event {
    @Override
    public EventKind kind() {
        return OperationEventKind.HANDOVER_GIVEN;
    }
}
