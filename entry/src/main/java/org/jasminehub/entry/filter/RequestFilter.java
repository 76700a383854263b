package org.jasminehub.entry.filter;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * One step of the chain that a request passes: it answers itself, or passes the request on and may change the answer.
 *
 * <pre>{@code
 * RequestHandler chain = RequestFilter.chain(List.of(limits, operations), relay);
 * }</pre>
 *
 * <p>Implementations must be safe for use by several threads and must not block.
 */
@FunctionalInterface
public interface RequestFilter {
    /** Returns the answer to {@code context}, with the help of {@code next} unless the filter answers itself. */
    CompletionStage<Answer> handle(RequestContext context, RequestHandler next);

    /** Returns a handler that sends requests through {@code filters} in their order and then to {@code last}. */
    static RequestHandler chain(List<RequestFilter> filters, RequestHandler last) {
        RequestHandler handler = last;
        for (RequestFilter filter : ImmutableList.copyOf(filters).reverse()) {
            RequestHandler next = handler;
            handler = context -> filter.handle(context, next);
        }
        return handler;
    }
}
