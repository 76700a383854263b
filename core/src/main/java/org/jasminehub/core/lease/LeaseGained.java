package org.jasminehub.core.lease;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** Reports that this instance has acquired the lease of a shard. */
public record LeaseGained(String shard, long fencingNumber, String instance, long incarnation) implements Event {
    @Override
    public EventKind kind() {
        return LeaseEventKind.LEASE_GAINED;
    }
}
