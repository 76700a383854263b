package org.jasminehub.core.lease;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** Reports that an agent refused an order; {@code lowestValidNumber} is -1 if the agent does not know it yet. */
public record OrderRefused(String shard, OrderVerdict verdict, long fencingNumber, long lowestValidNumber)
        implements Event {
    @Override
    public EventKind kind() {
        return LeaseEventKind.ORDER_REFUSED;
    }
}
