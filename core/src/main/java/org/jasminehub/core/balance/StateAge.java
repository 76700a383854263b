package org.jasminehub.core.balance;

import org.jasminehub.core.time.Clock;

/**
 * Tracks how long ago locally held state was last confirmed, including time during which the process was suspended.
 *
 * <p>The monotonic clock does not count time during which the machine is suspended, and the wall clock may step. The
 * age is the larger of the two elapsed times, so state can appear older than it is but never younger.
 *
 * <p>Not thread-safe.
 */
public final class StateAge {
    private final Clock clock;
    private boolean isConfirmed;
    private long confirmedMonotonicMillis;
    private long confirmedWallMillis;

    /** Creates the age of state that has never been confirmed. */
    public StateAge(Clock clock) {
        this.clock = clock;
    }

    /** One reading of both clocks. */
    public record ClockReading(long monotonicMillis, long wallMillis) {}

    /** Returns the current reading of both clocks. Callers take it when they send a query. */
    public ClockReading now() {
        return new ClockReading(clock.monotonicMillis(), clock.wallMillis());
    }

    /** Records that the state was confirmed as of {@code reading}; a reading older than the latest one is ignored. */
    public void confirm(ClockReading reading) {
        if (!isConfirmed || reading.monotonicMillis() >= confirmedMonotonicMillis) {
            isConfirmed = true;
            confirmedMonotonicMillis = reading.monotonicMillis();
            confirmedWallMillis = reading.wallMillis();
        }
    }

    /** Returns the age in milliseconds, or {@link Long#MAX_VALUE} if the state was never confirmed. */
    public long millis() {
        if (!isConfirmed) {
            return Long.MAX_VALUE;
        }
        return Math.max(clock.monotonicMillis() - confirmedMonotonicMillis, clock.wallMillis() - confirmedWallMillis);
    }
}
