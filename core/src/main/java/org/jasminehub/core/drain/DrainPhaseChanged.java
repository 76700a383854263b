package org.jasminehub.core.drain;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** A drain entered its next phase. */
public record DrainPhaseChanged(String instance, String phase, long elapsedMillis, int openRequests) implements Event {
    @Override
    public EventKind kind() {
        return DrainEventKind.DRAIN_PHASE_CHANGED;
    }
}
