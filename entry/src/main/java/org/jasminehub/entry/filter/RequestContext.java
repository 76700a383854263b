package org.jasminehub.entry.filter;

import org.jasminehub.core.document.DocumentInForce;
import org.jasminehub.core.document.RouteKind;
import org.jasminehub.core.document.RouteRule;
import org.jasminehub.core.document.WorkspaceRule;

/**
 * A request with the rules that its team's document sets for it.
 *
 * @param request the request
 * @param document the document in force when it arrived
 * @param route the route it takes
 * @param workspace its workspace's rule
 */
public record RequestContext(
        CallerRequest request, DocumentInForce document, RouteRule route, WorkspaceRule workspace) {
    /** Returns when the answer is of no use any more, by the process's monotonic clock. */
    public long deadlineMillis() {
        return request.arrivedMillis() + route.deadlineMillis();
    }

    /** Returns whether a repeat of the request is harmless. */
    public boolean isRepeatable() {
        return route.kind() != RouteKind.NON_IDEMPOTENT;
    }
}
