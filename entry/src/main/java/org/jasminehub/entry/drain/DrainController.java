package org.jasminehub.entry.drain;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.drain.DrainPhase;
import org.jasminehub.core.drain.EntryDrain;
import org.jasminehub.core.drain.EntryDrainPolicy;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.entry.control.ControlThread;
import org.jasminehub.entry.filter.CallerResponse;
import org.jasminehub.entry.filter.RequestContext;
import org.jasminehub.entry.filter.RequestFilter;
import org.jasminehub.entry.filter.RequestHandler;
import org.jspecify.annotations.Nullable;

/**
 * Counts the open requests of an entry instance and drains the instance before it stops.
 *
 * <p>A streamed response counts as an open request until its stream ends. Thread-safe.
 */
public final class DrainController implements RequestFilter {
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final String instance;
    private final EntryDrainPolicy policy;
    private final ControlThread control;
    private final Clock clock;
    private final EventSink events;
    private final AtomicInteger open = new AtomicInteger();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private volatile @Nullable EntryDrain drain;

    /** Creates the controller of {@code instance}. */
    public DrainController(
            String instance, EntryDrainPolicy policy, ControlThread control, Clock clock, EventSink events) {
        this.instance = instance;
        this.policy = policy;
        this.control = control;
        this.clock = clock;
        this.events = events;
    }

    /** Returns whether draining has started. */
    public boolean isLeaving() {
        return drain != null;
    }

    /** Starts draining. The returned stage completes when the process may exit. */
    public CompletionStage<Void> begin() {
        long requestedMillis = clock.monotonicMillis();
        control.execute(() -> {
            if (drain == null) {
                drain = new EntryDrain(instance, policy, open::get, requestedMillis, clock, events);
                control.runPeriodically(this::advance, POLL_INTERVAL_MILLIS);
            }
        });
        return stopped;
    }

    @Override
    public CompletionStage<CallerResponse> handle(RequestContext context, RequestHandler next) {
        EntryDrain current = drain;
        if (current != null && !current.acceptsRequests()) {
            return CompletableFuture.failedFuture(new RequestException(
                    ErrorCode.LEAVING, Outcome.NOT_RUN, 0, "this instance is leaving; ask for its successors"));
        }
        open.incrementAndGet();
        return next.handle(context).handle(this::countUntilEnd).thenCompose(stage -> stage);
    }

    private CompletionStage<CallerResponse> countUntilEnd(
            @Nullable CallerResponse response, @Nullable Throwable failure) {
        if (response instanceof CallerResponse.Streamed streamed) {
            Source<ByteString, NotUsed> counted = streamed.body().watchTermination((unused, end) -> {
                end.whenComplete((done, error) -> open.decrementAndGet());
                return unused;
            });
            return CompletableFuture.completedFuture(
                    new CallerResponse.Streamed(streamed.status(), streamed.contentType(), counted));
        }
        open.decrementAndGet();
        return response == null ? CompletableFuture.failedFuture(failure) : CompletableFuture.completedFuture(response);
    }

    private void advance() {
        EntryDrain current = drain;
        if (current != null && current.advance() == DrainPhase.STOPPED) {
            stopped.complete(null);
        }
    }
}
