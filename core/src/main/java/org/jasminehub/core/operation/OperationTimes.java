package org.jasminehub.core.operation;

import org.jasminehub.core.internal.Checks;

/**
 * The times on which running at most once rests.
 *
 * <pre>{@code
 * OperationTimes times = OperationTimes.of(600_000, 300_000, 60_000, 5_000);
 * }</pre>
 *
 * <p>Immutable.
 */
public final class OperationTimes {
    /** A window of ten minutes, a lease of five, deadlines of up to a minute and tickets of five seconds. */
    public static final OperationTimes DEFAULT = of(600_000, 300_000, 60_000, 5_000);

    /** Clocks of two instances may differ in speed by one part in this many. */
    private static final long CLOCK_DRIFT_DIVISOR = 100;

    private final long windowMillis;
    private final long leaseMillis;
    private final long maxDeadlineMillis;
    private final long ticketMillis;
    private final long retentionMillis;
    private final long quarantineMillis;

    OperationTimes(
            long windowMillis,
            long leaseMillis,
            long maxDeadlineMillis,
            long ticketMillis,
            long retentionMillis,
            long quarantineMillis) {
        this.windowMillis = windowMillis;
        this.leaseMillis = leaseMillis;
        this.maxDeadlineMillis = maxDeadlineMillis;
        this.ticketMillis = ticketMillis;
        this.retentionMillis = retentionMillis;
        this.quarantineMillis = quarantineMillis;
    }

    /**
     * Returns checked times.
     *
     * @param windowMillis for how long after its first use a caller may repeat a key
     * @param leaseMillis for how long an agent runs operations after it last confirmed the table of homes
     * @param maxDeadlineMillis the longest deadline of a request that carries a key
     * @param ticketMillis for how long a ticket may be used
     */
    public static OperationTimes of(long windowMillis, long leaseMillis, long maxDeadlineMillis, long ticketMillis) {
        Checks.positive("windowMillis", windowMillis);
        Checks.positive("leaseMillis", leaseMillis);
        Checks.positive("maxDeadlineMillis", maxDeadlineMillis);
        Checks.positive("ticketMillis", ticketMillis);
        long repeatMillis = windowMillis + maxDeadlineMillis + ticketMillis;
        return new OperationTimes(
                windowMillis,
                leaseMillis,
                maxDeadlineMillis,
                ticketMillis,
                withDrift(repeatMillis),
                withDrift(leaseMillis + repeatMillis));
    }

    private static long withDrift(long millis) {
        return millis + millis / CLOCK_DRIFT_DIVISOR + 1;
    }

    /** Returns for how long after its first use a caller may repeat a key. */
    public long windowMillis() {
        return windowMillis;
    }

    /** Returns for how long an agent runs operations after it last confirmed the table of homes. */
    public long leaseMillis() {
        return leaseMillis;
    }

    /** Returns the longest deadline of a request that carries a key. */
    public long maxDeadlineMillis() {
        return maxDeadlineMillis;
    }

    /** Returns for how long a ticket may be used. */
    public long ticketMillis() {
        return ticketMillis;
    }

    /** Returns for how long an agent remembers an operation: until its last repeat can have arrived. */
    public long retentionMillis() {
        return retentionMillis;
    }

    /** Returns for how long a new home leaves keys alone whose old home is gone without a handover. */
    public long quarantineMillis() {
        return quarantineMillis;
    }
}
