package org.jasminehub.agent.call;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;

/**
 * One step that a call passes before it reaches the endpoint: it refuses the call, or hands it to the next step, now or
 * later.
 *
 * <pre>{@code
 * CallFilter refuseAll = (call, next) -> call.refuse(ErrorCode.LEAVING, Outcome.NOT_RUN, 0, "leaving");
 * }</pre>
 *
 * <p>Implementations must be safe for use by several threads and must not block.
 */
@FunctionalInterface
public interface CallFilter {
    /** Refuses {@code call} or gives it to {@code next}. */
    void handle(AgentCall call, CallHandler next);

    /** Returns a handler that sends calls through {@code filters} in their order and then to {@code last}. */
    static CallHandler chain(Iterable<CallFilter> filters, CallHandler last) {
        CallHandler handler = last;
        for (CallFilter filter : Lists.reverse(ImmutableList.copyOf(filters))) {
            CallHandler next = handler;
            handler = call -> filter.handle(call, next);
        }
        return handler;
    }
}
