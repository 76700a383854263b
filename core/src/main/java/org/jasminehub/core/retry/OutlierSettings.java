package org.jasminehub.core.retry;

import org.jasminehub.core.internal.Checks;

/**
 * When an endpoint is left out.
 *
 * @param minAttempts how many attempts in a window are evidence enough
 * @param minFailurePercent how many of a hundred must have failed
 * @param maxEjectedPercent how many of a hundred endpoints may be left out at a time
 * @param windowMillis over what time attempts are counted
 * @param ejectionMillis for how long an endpoint is left out the first time; each further time in a row doubles it
 */
public record OutlierSettings(
        int minAttempts, int minFailurePercent, int maxEjectedPercent, long windowMillis, long ejectionMillis) {
    private static final int FULL_PERCENT = 100;

    /** Creates checked settings. */
    public OutlierSettings {
        Checks.positive("minAttempts", minAttempts);
        Checks.inRange("minFailurePercent", minFailurePercent, 1, FULL_PERCENT);
        Checks.inRange("maxEjectedPercent", maxEjectedPercent, 0, FULL_PERCENT);
        Checks.positive("windowMillis", windowMillis);
        Checks.positive("ejectionMillis", ejectionMillis);
    }

    /** Returns the settings used where an operator sets none. */
    public static OutlierSettings defaults() {
        return new OutlierSettings(5, 50, 30, 10_000, 5_000);
    }
}
