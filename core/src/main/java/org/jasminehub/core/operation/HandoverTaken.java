package org.jasminehub.core.operation;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** An agent took over keys from their old home. */
public record HandoverTaken(String service, String agent, String predecessor, long epoch) implements Event {
    @Override
    public EventKind kind() {
        return OperationEventKind.HANDOVER_TAKEN;
    }
}
