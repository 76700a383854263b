package org.jasminehub.core.balance;

import java.util.regex.Pattern;

/**
 * An endpoint's request to be sent nothing for some time.
 *
 * @param periodMillis how long the endpoint is sent nothing
 * @param isAdjusted whether the period differs from the stated value, which was malformed or too long
 */
public record QuietRequest(long periodMillis, boolean isAdjusted) {
    /** Longest period, so that a single faulty response cannot take an endpoint out of service for good. */
    public static final long MAX_PERIOD_MILLIS = 300_000;

    /** Period for a value that is not a non-negative number of seconds, such as a date. */
    public static final long FALLBACK_PERIOD_MILLIS = 1_000;

    private static final Pattern SECONDS = Pattern.compile("[0-9]+(\\.[0-9]*)?|\\.[0-9]+");
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Decodes a number of seconds, which may have a fraction. */
    public static QuietRequest parse(String seconds) {
        String trimmed = seconds.trim();
        if (!SECONDS.matcher(trimmed).matches()) {
            return new QuietRequest(FALLBACK_PERIOD_MILLIS, true);
        }
        double millis = Math.ceil(Double.parseDouble(trimmed) * MILLIS_PER_SECOND);
        return millis > MAX_PERIOD_MILLIS
                ? new QuietRequest(MAX_PERIOD_MILLIS, true)
                : new QuietRequest((long) millis, false);
    }
}
