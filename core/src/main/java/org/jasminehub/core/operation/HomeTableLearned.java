package org.jasminehub.core.operation;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** Emitted when an agent receives a newer home table. */
public record HomeTableLearned(String service, String agent, long epoch, int memberCount) implements Event {
    @Override
    public EventKind kind() {
        return OperationEventKind.HOME_TABLE_LEARNED;
    }
}
