package org.jasminehub.entry.filter;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.jasminehub.core.document.DocumentInForce;
import org.jasminehub.core.document.RouteRule;
import org.jasminehub.core.document.WorkspaceRule;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.entry.control.ControlState;

/** Finds the document, the route and the workspace rule of a request. Thread-safe. */
public final class RequestMatcher {
    private final Supplier<ControlState> state;

    /** Creates a matcher that reads the current documents from {@code state}. */
    public RequestMatcher(Supplier<ControlState> state) {
        this.state = state;
    }

    /**
     * Returns the request with the rules that apply to it.
     *
     * @throws RequestException if no document in force contains the workspace, no route matches the request, or the
     *     route requires an idempotency key that is missing
     */
    public RequestContext match(CallerRequest request) {
        List<DocumentInForce> documents = state.get().documentsOf(request.workspace());
        if (documents.isEmpty()) {
            throw new RequestException(
                    ErrorCode.WORKSPACE_UNKNOWN,
                    Outcome.NOT_RUN,
                    "workspace \"" + request.workspace() + "\" is in no document in force");
        }
        for (DocumentInForce document : documents) {
            Optional<RouteRule> route = routeOf(document, request);
            if (route.isPresent()) {
                return contextOf(request, document, route.get());
            }
        }
        throw new RequestException(
                ErrorCode.ROUTE_UNKNOWN,
                Outcome.NOT_RUN,
                "no route takes " + request.method() + " " + request.path() + " of " + request.target());
    }

    private static Optional<RouteRule> routeOf(DocumentInForce document, CallerRequest request) {
        return document.document().routes().stream()
                .filter(rule -> rule.matches(request.target(), request.method(), request.path()))
                .filter(rule -> request.routeName() == null || rule.name().equals(request.routeName()))
                .findFirst();
    }

    private static RequestContext contextOf(CallerRequest request, DocumentInForce document, RouteRule route) {
        WorkspaceRule workspace =
                document.document().workspace(request.workspace()).orElseThrow();
        RequestContext context = new RequestContext(request, document, route, workspace);
        if (!context.isIdempotent() && request.idempotencyKey() == null) {
            throw new RequestException(
                    ErrorCode.IDEMPOTENCY_KEY_MISSING,
                    Outcome.NOT_RUN,
                    "route \"" + route.name() + "\" needs the header Idempotency-Key");
        }
        return context;
    }
}
