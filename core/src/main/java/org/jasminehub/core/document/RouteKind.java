package org.jasminehub.core.document;

/** How the responses of a route are delivered, and whether its requests may be repeated. */
public enum RouteKind {
    /** The response is relayed while it is generated. */
    STREAM,
    /** The response is delivered when it is complete; requests may be repeated safely. */
    WHOLE,
    /** Repeating a request would repeat its effect, so each request is executed at most once. */
    NON_IDEMPOTENT,
    /** The response must reflect the current state, so requests are never cached, merged or hedged. */
    FRESH_READ
}
