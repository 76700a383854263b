package org.jasminehub.ctl;

import org.jasminehub.core.history.HistoryRecordCodec;
import org.jasminehub.core.history.PublishRecord;

/** The next step of a {@link PublishSession}. */
sealed interface PublishAction {
    /** Read the log from {@code fromOffset}; if there is no record, wait up to {@code waitMillis} for one. */
    record Read(long fromOffset, int waitMillis) implements PublishAction {}

    /** Append the record; occurs at most once in a session. */
    record Append(PublishRecord publish) implements PublishAction {
        byte[] payload() {
            return new HistoryRecordCodec().encode(publish);
        }
    }

    /** End the session with {@code result}. */
    record Finish(PublishResult result) implements PublishAction {}
}
