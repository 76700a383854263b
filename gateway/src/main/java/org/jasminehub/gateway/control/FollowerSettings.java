package org.jasminehub.gateway.control;

import java.util.function.LongSupplier;
import org.jasminehub.core.internal.Checks;

/**
 * Settings for following a log.
 *
 * @param waitMillis how long the next read waits for new records, 0 for reads that return at once
 * @param pauseMillis the delay between two reads
 * @param pauseAfterRecordsMillis the delay after a read that returned new records, at least {@code pauseMillis}; records
 *     that are appended in the meantime are read together
 * @param timeoutMillis the time-out of a read, in addition to {@code waitMillis}
 */
public record FollowerSettings(
        LongSupplier waitMillis, long pauseMillis, long pauseAfterRecordsMillis, long timeoutMillis) {
    /** Creates settings; the time-out must be positive and the pauses must not be negative. */
    public FollowerSettings {
        Checks.notNegative("pauseMillis", pauseMillis);
        Checks.that(
                pauseAfterRecordsMillis >= pauseMillis,
                "pauseAfterRecordsMillis",
                pauseAfterRecordsMillis,
                "at least " + pauseMillis);
        Checks.positive("timeoutMillis", timeoutMillis);
    }

    /** Returns settings for reads that wait for new records and follow each other without a pause. */
    public static FollowerSettings waiting(LongSupplier waitMillis, long timeoutMillis) {
        return new FollowerSettings(waitMillis, 0, 0, timeoutMillis);
    }

    /**
     * Returns settings for reads that wait for new records. The first records after a quiet time are read at once, later
     * ones together every {@code batchMillis}.
     */
    public static FollowerSettings batching(LongSupplier waitMillis, long batchMillis, long timeoutMillis) {
        return new FollowerSettings(waitMillis, 0, batchMillis, timeoutMillis);
    }

    /** Returns settings for reads that return at once. */
    public static FollowerSettings polling(long pauseMillis, long timeoutMillis) {
        return new FollowerSettings(() -> 0, pauseMillis, pauseMillis, timeoutMillis);
    }
}
