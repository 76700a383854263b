package org.jasminehub.core.operation;

/** A mechanism left out on purpose, to show that a check notices. */
enum OperationFlaw {
    NONE,
    NO_QUARANTINE,
    NO_LEASE,
    NO_TICKET_EXPIRY,
    NO_ENTRY_DEADLINE,
    NO_MEMORY,
    NOT_RUN_WITHOUT_PROOF,
    HANDOVER_WITHOUT_SEAL;

    static final int WINDOW_MILLIS = 1000;
    static final int DEADLINE_MILLIS = 100;
    static final long NEVER_MILLIS = 1_000_000;
    private static final int LEASE_MILLIS = 300;
    private static final int TICKET_MILLIS = 50;

    OperationTimes times() {
        OperationTimes sound = OperationTimes.of(WINDOW_MILLIS, LEASE_MILLIS, DEADLINE_MILLIS, TICKET_MILLIS);
        return new OperationTimes(
                WINDOW_MILLIS,
                this == NO_LEASE ? NEVER_MILLIS : LEASE_MILLIS,
                DEADLINE_MILLIS,
                this == NO_TICKET_EXPIRY ? NEVER_MILLIS : TICKET_MILLIS,
                this == NO_MEMORY ? 0 : sound.retentionMillis(),
                this == NO_QUARANTINE ? 0 : sound.quarantineMillis());
    }
}
