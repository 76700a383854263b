package org.jasminehub.gateway.call;

import java.util.List;
import java.util.Optional;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.CallerExchange;
import org.jasminehub.gateway.net.CallerHandler;
import org.jasminehub.gateway.net.CallerRequest;
import org.jasminehub.gateway.net.CallerResponse;

/**
 * Applies the filters to each call and dispatches the calls that pass.
 *
 * <pre>{@code
 * CallerServer.start(loop, address, limits, new CallPipeline(clock, configuration, settings, admission, dispatcher), onMalformed);
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
    public CallerExchange handle(CallerRequest request, CallerResponse answer) {
        CallContext context = new CallContext(request, clock.monotonicMillis());
        RunningCall call = new RunningCall(context, answer, dispatcher);
        for (CallFilter filter : filters) {
            Optional<Refusal> refusal = filter.apply(context);
            if (refusal.isPresent()) {
                call.refuse(refusal.get());
                return call;
            }
        }
        dispatcher.onCall(call);
        call.start();
        return call;
    }
}
