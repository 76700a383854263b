package org.jasminehub.core.retry;

/** What to do after a failed attempt. */
public enum RetryDecision {
    /** Send it again, to another endpoint. */
    AGAIN,
    /** Give up: a repeat could have an effect of its own. */
    MAY_HAVE_RUN,
    /** Give up: a repeat would fail in the same way. */
    POINTLESS,
    /** Give up: all attempts that the route allows were made. */
    ATTEMPTS_USED,
    /** Give up: too little time is left. */
    DEADLINE,
    /** Give up: the workspace or the service has no retry left. */
    BUDGET_USED
}
