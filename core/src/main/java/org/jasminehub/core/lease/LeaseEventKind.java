package org.jasminehub.core.lease;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Event kinds for leases and fenced orders. */
public enum LeaseEventKind implements EventKind {
    /** This instance acquired a lease. */
    LEASE_GAINED(4000, Severity.INFO, "This instance holds the lease of a shard from now on."),
    /** This instance lost or released a lease. */
    LEASE_LOST(4001, Severity.WARNING, "This instance no longer holds the lease of a shard."),
    /** An agent learnt the lowest valid fencing number of a shard. */
    FENCING_NUMBER_LEARNT(4010, Severity.INFO, "An agent has learnt which fencing numbers are valid."),
    /** An agent refused an order. */
    ORDER_REFUSED(4011, Severity.WARNING, "An agent refused an order because of its fencing number or incarnation.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    LeaseEventKind(int number, Severity severity, String meaning) {
        this.number = number;
        this.severity = severity;
        this.meaning = meaning;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Severity severity() {
        return severity;
    }

    @Override
    public String meaning() {
        return meaning;
    }
}
