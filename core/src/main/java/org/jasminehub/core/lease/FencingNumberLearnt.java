package org.jasminehub.core.lease;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * Reports that an agent has learnt the lowest valid fencing number of a shard and accepts orders for it from now on.
 */
public record FencingNumberLearnt(String shard, long lowestValidNumber) implements Event {
    @Override
    public EventKind kind() {
        return LeaseEventKind.FENCING_NUMBER_LEARNT;
    }
}
