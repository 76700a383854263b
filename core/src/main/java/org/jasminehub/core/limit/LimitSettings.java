package org.jasminehub.core.limit;

import org.jasminehub.core.internal.Checks;

/**
 * Settings for sharing limits between entry instances.
 *
 * @param loanMillis the duration of a loan of part of a share
 * @param maxClockDriftPercent the percentage by which the clock of one instance may run faster than that of another
 * @param maxRequestMillis the longest time that a request may run
 */
public record LimitSettings(long loanMillis, int maxClockDriftPercent, long maxRequestMillis) {
    private static final int MAX_PERCENT = 50;

    /** Creates settings; durations must be positive, and the clock drift from 0 to 50 percent. */
    public LimitSettings {
        Checks.positive("loanMillis", loanMillis);
        Checks.inRange("maxClockDriftPercent", maxClockDriftPercent, 0, MAX_PERCENT);
        Checks.positive("maxRequestMillis", maxRequestMillis);
    }

    /** Returns the default settings. */
    public static LimitSettings defaults() {
        return new LimitSettings(5_000, 1, 120_000);
    }
}
