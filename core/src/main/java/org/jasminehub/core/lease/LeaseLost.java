package org.jasminehub.core.lease;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * Reports that this instance no longer holds the lease of a shard.
 *
 * @param shard the shard
 * @param fencingNumber the fencing number under which this instance held the lease
 * @param newestHolder the holder according to the log, or "null" if the log shows none
 */
public record LeaseLost(String shard, long fencingNumber, String newestHolder) implements Event {
    @Override
    public EventKind kind() {
        return LeaseEventKind.LEASE_LOST;
    }
}
