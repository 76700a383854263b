package org.jasminehub.core.operation;

import org.jasminehub.core.internal.Checks;

/**
 * The durations on which the at-most-once guarantee depends.
 *
 * <pre>{@code
 * OperationTimes times = OperationTimes.of(600_000, 300_000, 60_000, 5_000);
 * }</pre>
 *
 * <p>Immutable.
 */
public final class OperationTimes {
    /** The defaults: a window of 10 min, a lease of 5 min, deadlines of up to 1 min and tickets valid for 5 s. */
    public static final OperationTimes DEFAULT = of(600_000, 300_000, 60_000, 5_000);

    /** The clocks of two instances may differ in rate by at most one part in this number, that is by 1 %. */
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
     * Creates durations and derives the retention and quarantine times; throws if a duration is not positive.
     *
     * @param windowMillis how long after the first use of a key a caller may retry with it
     * @param leaseMillis how long an agent may start operations after it last confirmed the home table
     * @param maxDeadlineMillis the maximum deadline of a request that carries a key
     * @param ticketMillis how long a ticket is valid
     */
    public static OperationTimes of(long windowMillis, long leaseMillis, long maxDeadlineMillis, long ticketMillis) {
        Checks.positive("windowMillis", windowMillis);
        Checks.positive("leaseMillis", leaseMillis);
        Checks.positive("maxDeadlineMillis", maxDeadlineMillis);
        Checks.positive("ticketMillis", ticketMillis);
        long retryMillis = windowMillis + maxDeadlineMillis + ticketMillis;
        return new OperationTimes(
                windowMillis,
                leaseMillis,
                maxDeadlineMillis,
                ticketMillis,
                withDrift(retryMillis),
                withDrift(leaseMillis + retryMillis));
    }

    private static long withDrift(long millis) {
        return millis + millis / CLOCK_DRIFT_DIVISOR + 1;
    }

    /** Returns how long after the first use of a key a caller may retry with it. */
    public long windowMillis() {
        return windowMillis;
    }

    /** Returns how long an agent may start operations after it last confirmed the home table. */
    public long leaseMillis() {
        return leaseMillis;
    }

    /** Returns the maximum deadline of a request that carries a key. */
    public long maxDeadlineMillis() {
        return maxDeadlineMillis;
    }

    /** Returns how long a ticket is valid. */
    public long ticketMillis() {
        return ticketMillis;
    }

    /**
     * Returns how long an agent keeps the record of an operation. It is the latest time at which a retry can arrive:
     * the sum of window, maximum deadline and ticket validity, plus clock drift.
     */
    public long retentionMillis() {
        return retentionMillis;
    }

    /**
     * Returns how long a new home must not start operations of keys whose previous home has not handed them over. It is
     * the sum of lease, window, maximum deadline and ticket validity, plus clock drift.
     */
    public long quarantineMillis() {
        return quarantineMillis;
    }
}
