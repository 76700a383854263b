package org.jasminehub.core.limit;

/** The quantity that a limit applies to. */
public enum LimitKind {
    /** Requests started per second. */
    REQUESTS,
    /** Tokens used per second. */
    TOKENS,
    /** Requests that run concurrently. */
    CONCURRENCY
}
