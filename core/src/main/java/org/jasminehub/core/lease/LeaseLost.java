package org.jasminehub.core.lease;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/** This instance holds the lease of a shard no longer; {@code newestHolder} is whom the log names. */
public record LeaseLost(String shard, long fencingNumber, String newestHolder) implements Event {
    @Override
    public EventKind kind() {
        return LeaseEventKind.LEASE_LOST;
    }
}
