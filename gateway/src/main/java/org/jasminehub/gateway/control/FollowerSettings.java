package org.jasminehub.gateway.control;

import org.jasminehub.core.internal.Checks;

/**
 * How a log is followed.
 *
 * @param waitMillis how long a read waits for a record, 0 for reads that answer at once
 * @param pauseMillis the pause between two reads
 * @param timeoutMillis how long an answer may take beyond {@code waitMillis}
 */
public record FollowerSettings(long waitMillis, long pauseMillis, long timeoutMillis) {
    /** Creates settings. */
    public FollowerSettings {
        Checks.notNegative("waitMillis", waitMillis);
        Checks.notNegative("pauseMillis", pauseMillis);
        Checks.positive("timeoutMillis", timeoutMillis);
    }
}
