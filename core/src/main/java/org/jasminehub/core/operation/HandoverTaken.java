package org.jasminehub.core.operation;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** Emitted when an agent has received a handover from the previous home of keys. */
public record HandoverTaken(String service, String agent, String predecessor, long epoch) implements Event {
    @Override
    public EventKind kind() {
        return OperationEventKind.HANDOVER_TAKEN;
    }
}
