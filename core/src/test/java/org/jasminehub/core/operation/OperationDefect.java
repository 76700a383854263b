package org.jasminehub.core.operation;

/** A defect that is built into the simulation on purpose, to verify that the simulation's checks detect it. */
enum OperationDefect {
    NONE,
    NO_QUARANTINE,
    NO_LEASE,
    NO_TICKET_EXPIRY,
    NO_ENTRY_DEADLINE,
    NO_RETENTION,
    NOT_RUN_WITHOUT_PROOF,
    HANDOVER_WITHOUT_SEAL;

    static final int WINDOW_MILLIS = 1000;
    static final int DEADLINE_MILLIS = 100;
    static final long NEVER_MILLIS = 1_000_000;
    private static final int LEASE_MILLIS = 300;
    private static final int TICKET_MILLIS = 50;

    OperationTimes times() {
        OperationTimes correct = OperationTimes.of(WINDOW_MILLIS, LEASE_MILLIS, DEADLINE_MILLIS, TICKET_MILLIS);
        return new OperationTimes(
                WINDOW_MILLIS,
                this == NO_LEASE ? NEVER_MILLIS : LEASE_MILLIS,
                DEADLINE_MILLIS,
                this == NO_TICKET_EXPIRY ? NEVER_MILLIS : TICKET_MILLIS,
                this == NO_RETENTION ? 0 : correct.retentionMillis(),
                this == NO_QUARANTINE ? 0 : correct.quarantineMillis());
    }
}
