package org.jasminehub.ctl;

import org.jasminehub.core.history.HistoryRecordCodec;
import org.jasminehub.core.history.PublishRecord;

/** What a publish needs done next. */
sealed interface PublishAction {
    /** Read the log from an offset; wait up to a time for a record if there is none. */
    record Read(long fromOffset, int waitMillis) implements PublishAction {}

    /** Append the record, once. */
    record Append(PublishRecord publish) implements PublishAction {
        byte[] payload() {
            return new HistoryRecordCodec().encode(publish);
        }
    }

    /** Stop; this is what is known. */
    record Finish(PublishResult result) implements PublishAction {}
}
