package org.jasminehub.gateway.call;

import java.util.List;
import java.util.Optional;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.CallerExchange;
import org.jasminehub.gateway.net.CallerHandler;
import org.jasminehub.gateway.net.CallerRequest;
import org.jasminehub.gateway.net.CallerResponse;
import org.jasminehub.gateway.net.RequestBody;

/**
 * Applies the filters to each call and dispatches the calls that pass.
 *
 * <pre>{@code
 * CallerServer.start(loop, address, limits, resources,
 *     new CallPipeline(clock, configuration, settings, admission, dispatcher), onMalformed);
 * }</pre>
 */
public final class CallPipeline implements CallerHandler {
    private final Clock clock;
    private final List<CallFilter> filters;
    private final CallDispatcher dispatcher;

    /** Creates a pipeline that passes accepted calls to {@code dispatcher}. */
    public CallPipeline(
            Clock clock,
            ConfigurationView configuration,
            CallSettings settings,
            CallAdmission admission,
            CallDispatcher dispatcher) {
        this.clock = clock;
        this.filters = new CallFilters(clock, configuration, settings, admission).chain();
        this.dispatcher = dispatcher;
    }

    @Override
    public boolean needsBody(CallerRequest request) {
        return findRefusal(new CallContext(request, clock.monotonicMillis())).isEmpty();
    }

    private Optional<Refusal> findRefusal(CallContext context) {
        for (CallFilter filter : filters) {
            Optional<Refusal> refusal = filter.apply(context);
            if (refusal.isPresent()) {
                return refusal;
            }
        }
        return Optional.empty();
    }

    @Override
    public CallerExchange handle(CallerRequest request, CallerResponse answer) {
        CallContext context = new CallContext(request, clock.monotonicMillis());
        RunningCall call = new RunningCall(context, answer, dispatcher);
        Optional<Refusal> refusal = findRefusal(context);
        if (refusal.isEmpty() && request.body() == RequestBody.DISCARDED) {
            // Refused when only its head was known; the configuration has changed since.
            refusal = Optional.of(Refusal.retryable(
                    ErrorCode.NOT_READY, 0, "the configuration changed while the request was received"));
        }
        if (refusal.isPresent()) {
            call.refuse(refusal.get());
            return call;
        }
        dispatcher.onCall(call);
        call.start();
        return call;
    }
}
