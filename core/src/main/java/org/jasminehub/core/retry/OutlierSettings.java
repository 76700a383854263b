package org.jasminehub.core.retry;

import org.jasminehub.core.internal.Checks;

/**
 * Settings for the ejection of endpoints.
 *
 * @param minAttempts the minimum number of attempts in a window for an ejection
 * @param minFailurePercent the minimum percentage of failed attempts for an ejection
 * @param maxEjectedPercent the maximum percentage of endpoints that are ejected at a time
 * @param windowMillis the time window over which attempts are counted
 * @param ejectionMillis the duration of the first ejection; each consecutive one lasts twice as long
 */
public record OutlierSettings(
        int minAttempts, int minFailurePercent, int maxEjectedPercent, long windowMillis, long ejectionMillis) {
    private static final int FULL_PERCENT = 100;

    /** Validates the components. */
    public OutlierSettings {
        Checks.positive("minAttempts", minAttempts);
        Checks.inRange("minFailurePercent", minFailurePercent, 1, FULL_PERCENT);
        Checks.inRange("maxEjectedPercent", maxEjectedPercent, 0, FULL_PERCENT);
        Checks.positive("windowMillis", windowMillis);
        Checks.positive("ejectionMillis", ejectionMillis);
    }

    /** Returns the default settings. */
    public static OutlierSettings defaults() {
        return new OutlierSettings(5, 50, 30, 10_000, 5_000);
    }
}
