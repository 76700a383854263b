package org.jasminehub.entry.filter;

import java.util.concurrent.CompletionStage;

/** Handles requests. Implementations must not block. */
@FunctionalInterface
public interface RequestHandler {
    /** Returns the response to {@code context}, or fails with {@link org.jasminehub.core.error.RequestException}. */
    CompletionStage<CallerResponse> handle(RequestContext context);
}
