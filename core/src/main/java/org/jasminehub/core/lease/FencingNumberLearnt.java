package org.jasminehub.core.lease;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** An agent that had just started may take orders for a shard from now on. */
public record FencingNumberLearnt(String shard, long lowestValidNumber) implements Event {
    @Override
    public EventKind kind() {
        return LeaseEventKind.FENCING_NUMBER_LEARNT;
    }
}
