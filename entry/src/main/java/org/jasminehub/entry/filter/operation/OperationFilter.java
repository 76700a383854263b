package org.jasminehub.entry.filter.operation;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.operation.OperationCall;
import org.jasminehub.core.operation.OperationId;
import org.jasminehub.core.time.Clock;
import org.jasminehub.entry.endpoint.EndpointDirectory;
import org.jasminehub.entry.filter.CallerResponse;
import org.jasminehub.entry.filter.RequestContext;
import org.jasminehub.entry.filter.RequestFilter;
import org.jasminehub.entry.filter.RequestHandler;
import org.jspecify.annotations.Nullable;

/**
 * Sends non-idempotent requests to the home of their key and confirms each outcome "not run" with the home.
 *
 * <p>This filter precedes all filters that can refuse a request, so that a refusal is returned as "not run" only after
 * the home of the key has confirmed it. The handler returned by {@link #terminal} is the last step of the chain and
 * replaces the relay for these requests. Thread-safe.
 */
public final class OperationFilter implements RequestFilter {
    private final HomeClient homeClient;
    private final HomeTableController tables;
    private final Clock clock;
    private final EventSink events;

    /** Creates a filter that finds the homes of keys in {@code tables}. */
    public OperationFilter(EndpointDirectory directory, HomeTableController tables, Clock clock, EventSink events) {
        this.homeClient = new HomeClient(directory);
        this.tables = tables;
        this.clock = clock;
        this.events = events;
    }

    @Override
    public CompletionStage<CallerResponse> handle(RequestContext context, RequestHandler next) {
        if (context.isIdempotent()) {
            return next.handle(context);
        }
        return next.handle(context)
                .handle((response, failure) ->
                        failure == null ? CompletableFuture.completedFuture(response) : confirmNotRun(context, failure))
                .thenCompose(stage -> stage);
    }

    /**
     * Returns the last step of the chain, which runs operations itself and passes all other requests to {@code relay}.
     */
    public RequestHandler terminal(RequestHandler relay) {
        return context -> context.isIdempotent()
                ? relay.handle(context)
                : exchange(context).run();
    }

    private CompletionStage<CallerResponse> confirmNotRun(RequestContext context, Throwable failure) {
        RequestException refusal = refusalOf(failure);
        if (refusal == null || refusal.outcome() != Outcome.NOT_RUN) {
            return CompletableFuture.failedFuture(failure);
        }
        return exchange(context).refuse(refusal.code());
    }

    private OperationExchange exchange(RequestContext context) {
        OperationId id = new OperationId(
                context.request().workspace(),
                context.route().target().name(),
                Objects.requireNonNull(context.request().idempotencyKey()));
        OperationCall call =
                new OperationCall(id, context.deadlineMillis(), () -> tables.current(id.service()), clock, events);
        return new OperationExchange(context, id, call, homeClient, context.deadlineMillis() - clock.monotonicMillis());
    }

    private static @Nullable RequestException refusalOf(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof RequestException refusal ? refusal : null;
    }
}
