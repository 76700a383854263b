package org.jasminehub.gateway.control;

import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.hosted.LogSlice;

/**
 * Logs when the reads of a log do not reach its end, so that an outdated state can be told from a store that answers late.
 * The first such read and the one that reaches the end are logged; the time between two pairs of lines is limited.
 *
 * <p>Must be used on the process's event loop only.
 */
final class ReadProgressLog {
    private static final long MIN_INTERVAL_MILLIS = 1_000;

    private final String topic;
    private final Clock clock;
    private final EventSink events;
    private long loggedAtMillis = Long.MIN_VALUE;
    private long unconfirmedSinceMillis;
    private int unconfirmedReads;
    private boolean isLogged;

    /** Creates a log of the reads of {@code topic}. */
    ReadProgressLog(String topic, Clock clock, EventSink events) {
        this.topic = topic;
        this.clock = clock;
        this.events = events;
    }

    /**
     * Called with each successful read.
     *
     * @param fromOffset the offset from which it was read
     * @param ageMillis the age of the state before the read
     */
    void onSlice(LogSlice slice, long fromOffset, long ageMillis) {
        long nowMillis = clock.monotonicMillis();
        if (slice.reachesEnd()) {
            if (isLogged) {
                emit(
                        ControlEventKind.STORE_READ_COMPLETED,
                        "up to offset " + slice.endOffset() + " after " + unconfirmedReads + " reads and "
                                + (nowMillis - unconfirmedSinceMillis) + " ms",
                        ageMillis);
            }
            isLogged = false;
            unconfirmedReads = 0;
            return;
        }
        if (unconfirmedReads == 0) {
            unconfirmedSinceMillis = nowMillis;
        }
        unconfirmedReads++;
        boolean isDue = loggedAtMillis == Long.MIN_VALUE || nowMillis - loggedAtMillis >= MIN_INTERVAL_MILLIS;
        if (!isLogged && isDue) {
            isLogged = true;
            loggedAtMillis = nowMillis;
            emitUnconfirmed(slice, fromOffset, ageMillis);
        }
    }

    private void emitUnconfirmed(LogSlice slice, long fromOffset, long ageMillis) {
        if (slice.isBehind()) {
            emit(
                    ControlEventKind.STORE_READ_BEHIND,
                    "read to offset " + slice.nextOffset() + " of a log that ends at " + slice.endOffset(),
                    ageMillis);
        } else {
            emit(
                    ControlEventKind.STORE_END_INVALID,
                    slice.records().size() + " records read from offset " + fromOffset + " without a possible end",
                    ageMillis);
        }
    }

    private void emit(ControlEventKind kind, String detail, long ageMillis) {
        events.emit(new ControlEvent(kind, topic, detail, ageMillis));
    }
}
