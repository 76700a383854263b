package org.jasminehub.entry.filter;

import org.jasminehub.core.document.DocumentInForce;
import org.jasminehub.core.document.RouteKind;
import org.jasminehub.core.document.RouteRule;
import org.jasminehub.core.document.WorkspaceRule;

/**
 * A request with the rules of its team's document that apply to it.
 *
 * @param request the request
 * @param document the document that was in force when the request arrived
 * @param route the matching route
 * @param workspace the rule of its workspace
 */
public record RequestContext(
        CallerRequest request, DocumentInForce document, RouteRule route, WorkspaceRule workspace) {
    /** Returns the deadline of the request by the monotonic clock of this process. */
    public long deadlineMillis() {
        return request.arrivedMillis() + route.deadlineMillis();
    }

    /** Returns whether the request may safely run more than once. */
    public boolean isIdempotent() {
        return route.kind() != RouteKind.NON_IDEMPOTENT;
    }
}
