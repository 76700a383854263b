package org.jasminehub.gateway.control;

import java.util.function.LongSupplier;
import org.jasminehub.core.internal.Checks;

/**
 * Settings for following a log.
 *
 * @param waitMillis how long the next read waits for new records, 0 for reads that return at once
 * @param pauseMillis the delay between two reads
 * @param timeoutMillis the time-out of a read, in addition to {@code waitMillis}
 */
public record FollowerSettings(LongSupplier waitMillis, long pauseMillis, long timeoutMillis) {
    /** Creates settings; the time-out must be positive and the pause must not be negative. */
    public FollowerSettings {
        Checks.notNegative("pauseMillis", pauseMillis);
        Checks.positive("timeoutMillis", timeoutMillis);
    }

    /** Returns settings for reads that wait for new records and follow each other without a pause. */
    public static FollowerSettings waiting(LongSupplier waitMillis, long timeoutMillis) {
        return new FollowerSettings(waitMillis, 0, timeoutMillis);
    }

    /** Returns settings for reads that return at once. */
    public static FollowerSettings polling(long pauseMillis, long timeoutMillis) {
        return new FollowerSettings(() -> 0, pauseMillis, timeoutMillis);
    }
}
