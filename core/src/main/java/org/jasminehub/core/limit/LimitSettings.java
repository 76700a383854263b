package org.jasminehub.core.limit;

import org.jasminehub.core.internal.Checks;

/**
 * How entry instances share limits.
 *
 * @param loanMillis how long a part of a share is lent
 * @param maxClockDriftPercent how much faster than another's an instance's clock may run
 * @param maxRequestMillis the longest time for which a request may run
 */
public record LimitSettings(long loanMillis, int maxClockDriftPercent, long maxRequestMillis) {
    private static final int MAX_PERCENT = 50;

    /** Creates checked settings. */
    public LimitSettings {
        Checks.positive("loanMillis", loanMillis);
        Checks.inRange("maxClockDriftPercent", maxClockDriftPercent, 0, MAX_PERCENT);
        Checks.positive("maxRequestMillis", maxRequestMillis);
    }

    /** Returns the settings used where an operator sets none. */
    public static LimitSettings defaults() {
        return new LimitSettings(5_000, 1, 120_000);
    }
}
