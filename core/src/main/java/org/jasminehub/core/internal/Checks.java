package org.jasminehub.core.internal;

import org.jasminehub.core.error.InvalidArgumentException;

/** Checks arguments and names the offending value and its place when one fails. Not part of the public API. */
public final class Checks {
    private Checks() {}

    /** Returns {@code value}, or fails unless it is at least 0. */
    public static long notNegative(String name, long value) {
        if (value < 0) {
            throw new InvalidArgumentException(name, value, "a value of at least 0");
        }
        return value;
    }

    /** Returns {@code value}, or fails unless it is above 0. */
    public static long positive(String name, long value) {
        if (value <= 0) {
            throw new InvalidArgumentException(name, value, "a value above 0");
        }
        return value;
    }

    /** Returns {@code value}, or fails unless {@code low <= value <= high}. */
    public static double inRange(String name, double value, double low, double high) {
        if (!(value >= low && value <= high)) {
            throw new InvalidArgumentException(name, value, "a value from " + low + " to " + high);
        }
        return value;
    }

    /** Returns {@code value}, or fails if it is empty or blank. */
    public static String notBlank(String name, String value) {
        if (value.isBlank()) {
            throw new InvalidArgumentException(name, value, "a text that is not blank");
        }
        return value;
    }

    /** Fails with the place {@code name} and what was {@code expected} unless {@code holds}. */
    public static void that(boolean holds, String name, Object value, String expected) {
        if (!holds) {
            throw new InvalidArgumentException(name, value, expected);
        }
    }
}
