package org.jasminehub.core.limit;

/** What is limited. */
public enum LimitKind {
    /** Requests started a second. */
    REQUESTS,
    /** Tokens used a second. */
    TOKENS,
    /** Requests that run at a time. */
    CONCURRENCY
}
