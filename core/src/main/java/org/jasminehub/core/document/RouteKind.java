package org.jasminehub.core.document;

/** How answers of a route are delivered and what a repeat of its requests would do. */
public enum RouteKind {
    /** The answer is relayed as it is generated. */
    STREAM,
    /** The answer is delivered whole; a repeat is harmless. */
    WHOLE,
    /** A repeat would have an effect of its own, so the request runs at most once. */
    NON_IDEMPOTENT,
    /** The answer must reflect the present state, so it is never cached, merged or hedged. */
    FRESH_READ
}
