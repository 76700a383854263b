package org.jasminehub.agent.call;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;

/**
 * A stage in the processing of a call before it is sent to the endpoint. A filter answers or refuses the call, or
 * passes it to the next handler, immediately or later.
 *
 * <pre>{@code
 * CallFilter refuseAll = (call, next) -> call.refuse(ErrorCode.LEAVING, Outcome.NOT_RUN, 0, "shutting down");
 * }</pre>
 *
 * <p>Implementations must be thread-safe and must not block.
 */
@FunctionalInterface
public interface CallFilter {
    /** Answers or refuses {@code call}, or passes it to {@code next}. */
    void handle(AgentCall call, CallHandler next);

    /** Returns a handler that passes calls through {@code filters} in iteration order and then to {@code last}. */
    static CallHandler chain(Iterable<CallFilter> filters, CallHandler last) {
        CallHandler handler = last;
        for (CallFilter filter : Lists.reverse(ImmutableList.copyOf(filters))) {
            CallHandler next = handler;
            handler = call -> filter.handle(call, next);
        }
        return handler;
    }
}
