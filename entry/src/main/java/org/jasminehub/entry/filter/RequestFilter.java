package org.jasminehub.entry.filter;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * One step of the filter chain: responds to a request itself, or passes it on and may change the response.
 *
 * <pre>{@code
 * RequestHandler chain = RequestFilter.chain(List.of(limits, operations), relay);
 * }</pre>
 *
 * <p>Implementations must be thread-safe and must not block.
 */
@FunctionalInterface
public interface RequestFilter {
    /** Returns the response to {@code context}; calls {@code next} unless this filter responds itself. */
    CompletionStage<CallerResponse> handle(RequestContext context, RequestHandler next);

    /** Returns a handler that passes requests through {@code filters} in order and then to {@code last}. */
    static RequestHandler chain(List<RequestFilter> filters, RequestHandler last) {
        RequestHandler handler = last;
        for (RequestFilter filter : ImmutableList.copyOf(filters).reverse()) {
            RequestHandler next = handler;
            handler = context -> filter.handle(context, next);
        }
        return handler;
    }
}
