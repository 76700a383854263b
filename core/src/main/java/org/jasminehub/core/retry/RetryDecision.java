package org.jasminehub.core.retry;

/** Whether a request is retried after a failed attempt. */
public enum RetryDecision {
    /** Send the request again, to another endpoint. */
    RETRY_ALLOWED,
    /** Give up: the request may have run and is not idempotent. */
    MAY_HAVE_RUN,
    /** Give up: a retry would fail in the same way, or the request is done. */
    NOT_RETRYABLE,
    /** Give up: the route allows no further attempt. */
    ATTEMPTS_EXHAUSTED,
    /** Give up: too little time is left until the deadline. */
    DEADLINE_TOO_CLOSE,
    /** Give up: the budget of the workspace or of the service has no retry left. */
    BUDGET_EXHAUSTED
}
