package org.jasminehub.core.limit;

/** Whether a workspace's limits let a request through. */
public sealed interface LimitDecision {
    /**
     * It may run; its tokens are charged until the real number is known.
     *
     * @param chargedTokens the tokens charged
     * @param startMillis when it was let through, on the monotonic clock
     */
    record Allowed(long chargedTokens, long startMillis) implements LimitDecision {}

    /**
     * It may not run now.
     *
     * @param kind the limit that is used up
     * @param retryAfterMillis when to come back, from now
     */
    record Exceeded(LimitKind kind, long retryAfterMillis) implements LimitDecision {}
}
