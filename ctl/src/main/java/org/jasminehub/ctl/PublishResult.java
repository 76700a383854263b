package org.jasminehub.ctl;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.history.PublishOutcome;

/** How a publish ended. */
sealed interface PublishResult {
    /** The log was read; this is what it tells. */
    record Settled(PublishOutcome outcome) implements PublishResult {}

    /** Nothing was appended. */
    record NotAppended(ErrorCode code, String reason) implements PublishResult {}
}
