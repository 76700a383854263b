package org.jasminehub.ctl;

import org.jasminehub.core.history.HistoryRecordCodec;
import org.jasminehub.core.history.PublishRecord;

/** The next step of a {@link PublishSession}. */
sealed interface PublishAction {
    /** Reads the log from {@code fromOffset}; if there is no record, waits up to {@code waitMillis} for one. */
    record Read(long fromOffset, int waitMillis) implements PublishAction {}

    /** Appends the record; occurs at most once in a session. */
    record Append(PublishRecord publish) implements PublishAction {
        byte[] payload() {
            return new HistoryRecordCodec().encode(publish);
        }
    }

    /** Ends the session with {@code result}. */
    record Finish(PublishResult result) implements PublishAction {}
}
