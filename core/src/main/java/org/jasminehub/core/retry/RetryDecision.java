package org.jasminehub.core.retry;

/** Whether a request is retried after a failed attempt. */
public enum RetryDecision {
    /** Retried at another endpoint. */
    RETRY_ALLOWED,
    /** Not retried: the request may have run and is not idempotent. */
    MAY_HAVE_RUN,
    /** Not retried: a retry would fail in the same way, or the request is done. */
    NOT_RETRYABLE,
    /** Not retried: the route allows no further attempt. */
    ATTEMPTS_EXHAUSTED,
    /** Not retried: too little time is left until the deadline. */
    DEADLINE_TOO_CLOSE,
    /** Not retried: the budget of the workspace or of the service has no retry left. */
    BUDGET_EXHAUSTED
}
