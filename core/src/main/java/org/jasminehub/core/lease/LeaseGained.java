package org.jasminehub.core.lease;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** This instance holds the lease of a shard from now on. */
public record LeaseGained(String shard, long fencingNumber, String instance, long incarnation) implements Event {
    @Override
    public EventKind kind() {
        return LeaseEventKind.LEASE_GAINED;
    }
}
