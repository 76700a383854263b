package org.jasminehub.core.limit;

/** The decision whether the limits of a workspace allow a request. */
public sealed interface LimitDecision {
    /**
     * The request may run. Its maximum number of tokens is charged until the actual number is known.
     *
     * @param chargedTokens the tokens charged
     * @param startMillis when the request was allowed, on the monotonic clock
     */
    record Allowed(long chargedTokens, long startMillis) implements LimitDecision {}

    /**
     * The request may not run now.
     *
     * @param kind the limit that is exhausted
     * @param retryAfterMillis the time after which the caller should retry
     */
    record Exceeded(LimitKind kind, long retryAfterMillis) implements LimitDecision {}
}
