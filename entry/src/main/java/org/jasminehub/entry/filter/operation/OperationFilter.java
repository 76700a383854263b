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
import org.jasminehub.entry.filter.Answer;
import org.jasminehub.entry.filter.RequestContext;
import org.jasminehub.entry.filter.RequestFilter;
import org.jasminehub.entry.filter.RequestHandler;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests that must not be repeated to the home of their key and proves every "not run".
 *
 * <p>It stands first in the chain, so that a refusal by a later step is answered as "not run" only with the home's
 * proof; {@link #terminal} stands last and takes the place of the relay for these requests. Safe for use by several
 * threads.
 */
public final class OperationFilter implements RequestFilter {
    private final HomeLink homes;
    private final HomeTableController tables;
    private final Clock clock;
    private final EventSink events;

    /** Creates a filter that finds homes by {@code tables}. */
    public OperationFilter(EndpointDirectory directory, HomeTableController tables, Clock clock, EventSink events) {
        this.homes = new HomeLink(directory);
        this.tables = tables;
        this.clock = clock;
        this.events = events;
    }

    @Override
    public CompletionStage<Answer> handle(RequestContext context, RequestHandler next) {
        if (context.isRepeatable()) {
            return next.handle(context);
        }
        return next.handle(context)
                .handle((answer, failure) ->
                        failure == null ? CompletableFuture.completedFuture(answer) : prove(context, failure))
                .thenCompose(stage -> stage);
    }

    /** Returns the last step of the chain: it runs operations, and hands all other requests to {@code relay}. */
    public RequestHandler terminal(RequestHandler relay) {
        return context -> context.isRepeatable()
                ? relay.handle(context)
                : exchange(context).run();
    }

    private CompletionStage<Answer> prove(RequestContext context, Throwable failure) {
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
        return new OperationExchange(context, id, call, homes, context.deadlineMillis() - clock.monotonicMillis());
    }

    private static @Nullable RequestException refusalOf(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof RequestException refusal ? refusal : null;
    }
}
