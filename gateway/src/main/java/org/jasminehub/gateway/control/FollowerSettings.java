package org.jasminehub.gateway.control;

import org.jasminehub.core.internal.Checks;

/**
 * Settings for following a log.
 *
 * @param waitMillis how long a read waits for new records, 0 for reads that return at once
 * @param pauseMillis the delay between two reads
 * @param timeoutMillis the time-out of a read, in addition to {@code waitMillis}
 */
public record FollowerSettings(long waitMillis, long pauseMillis, long timeoutMillis) {
    /** Creates settings; the time-out must be positive and the others must not be negative. */
    public FollowerSettings {
        Checks.notNegative("waitMillis", waitMillis);
        Checks.notNegative("pauseMillis", pauseMillis);
        Checks.positive("timeoutMillis", timeoutMillis);
    }
}
