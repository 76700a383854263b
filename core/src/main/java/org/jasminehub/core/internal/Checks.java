package org.jasminehub.core.internal;

import org.jasminehub.core.error.InvalidArgumentException;

/** Argument checks that throw {@link InvalidArgumentException} on failure. Not part of the public API. */
public final class Checks {
    private Checks() {}

    /** Returns {@code value} if it is at least 0; otherwise throws an exception. */
    public static long notNegative(String name, long value) {
        if (value < 0) {
            throw new InvalidArgumentException(name, value, "a value of at least 0");
        }
        return value;
    }

    /** Returns {@code value} if it is above 0; otherwise throws an exception. */
    public static long positive(String name, long value) {
        if (value <= 0) {
            throw new InvalidArgumentException(name, value, "a value above 0");
        }
        return value;
    }

    /** Returns {@code value} if {@code low <= value <= high}; otherwise, also for NaN, throws an exception. */
    public static double inRange(String name, double value, double low, double high) {
        if (!(value >= low && value <= high)) {
            throw new InvalidArgumentException(name, value, "a value from " + low + " to " + high);
        }
        return value;
    }

    /** Returns {@code value} if it is not empty or blank; otherwise throws an exception. */
    public static String notBlank(String name, String value) {
        if (value.isBlank()) {
            throw new InvalidArgumentException(name, value, "a text that is not blank");
        }
        return value;
    }

    /** Throws an exception for the argument {@code name} with {@code value} unless {@code condition} is true. */
    public static void that(boolean condition, String name, Object value, String expected) {
        if (!condition) {
            throw new InvalidArgumentException(name, value, expected);
        }
    }
}
