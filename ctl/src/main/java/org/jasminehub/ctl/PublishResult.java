package org.jasminehub.ctl;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.history.PublishOutcome;

/** The result of a {@link PublishSession}. */
sealed interface PublishResult {
    /** The outcome as far as the log was read; it may still be unknown. */
    record Observed(PublishOutcome outcome) implements PublishResult {}

    /** Nothing was appended, for {@code reason}. */
    record NotAppended(ErrorCode code, String reason) implements PublishResult {}
}
