package org.jasminehub.core.balance;

/**
 * Determines how long a read of the configuration log waits for a new version.
 *
 * <p>Load pattern: every instance reads the log, and all calls to the store together are limited and priced. A new
 * version ends the wait at once, so the wait only determines how old the confirmation of the version in force becomes.
 * Instances confirm the age to each other, so in a large fleet each of them can wait for longer.
 */
public final class ConfigurationWaitPolicy {
    /** Keeps the age of an instance without peers far below a revocation bound of five seconds. */
    private static final long MIN_WAIT_MILLIS = 1_600;

    /** Leaves a failed read the time to be repeated within a revocation bound of five seconds. */
    private static final long MAX_WAIT_MILLIS = 3_000;

    private static final long MILLIS_PER_INSTANCE = 150;

    private ConfigurationWaitPolicy() {}

    /** Returns the wait of an instance in a fleet of {@code instances}. */
    public static long waitMillis(int instances) {
        return Math.min(MAX_WAIT_MILLIS, Math.max(MIN_WAIT_MILLIS, MILLIS_PER_INSTANCE * instances));
    }
}
