package org.jasminehub.core.operation;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** An agent learnt a new table of homes. */
public record HomeTableLearned(String service, String agent, long epoch, int memberCount) implements Event {
    @Override
    public EventKind kind() {
        return OperationEventKind.HOME_TABLE_LEARNED;
    }
}
