package org.jasminehub.entry.relay;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.stream.StreamLimitReachedException;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.retry.RetryBudgets;
import org.jasminehub.core.retry.RetryPolicy;
import org.jasminehub.core.routing.EndpointPolicy;
import org.jasminehub.core.time.Clock;
import org.jasminehub.entry.endpoint.EndpointDirectory;
import org.jasminehub.entry.filter.CallerResponse;
import org.jasminehub.entry.filter.RequestContext;
import org.jasminehub.entry.filter.RequestHandler;
import org.jasminehub.wire.generated.AnswerHead;
import org.jasminehub.wire.generated.Header;

/**
 * The last step of the filter chain: sends the request to an endpoint and relays the response.
 *
 * <p>A streamed response is relayed as it arrives and is resumed at another endpoint if its endpoint fails. Any other
 * response is buffered first, so the caller receives either the complete response or an error; one that exceeds the
 * buffer is an error. Thread-safe.
 */
public final class RelayHandler implements RequestHandler {
    private static final int FIRST_ERROR_STATUS = 400;
    /** Far more than usual responses; a faulty endpoint may send bytes without end. */
    private static final int MAX_BUFFERED_BYTES = 8 << 20;

    private static final int RETRY_RESERVE = 10;
    private static final int MAX_RETRY_BUDGETS = 10_000;

    private final ActorSystem<?> system;
    private final FailureDomain origin;
    private final EndpointDirectory directory;
    private final EndpointPolicy policy;
    private final RetryPolicy retries = new RetryPolicy(new RetryBudgets(RETRY_RESERVE, MAX_RETRY_BUDGETS));
    private final Clock clock;
    private final EventSink events;

    /** Creates the handler of an entry instance in the failure domain {@code origin}. */
    public RelayHandler(
            ActorSystem<?> system,
            FailureDomain origin,
            EndpointDirectory directory,
            EndpointPolicy policy,
            Clock clock,
            EventSink events) {
        this.system = system;
        this.origin = origin;
        this.directory = directory;
        this.policy = policy;
        this.clock = clock;
        this.events = events;
    }

    @Override
    public CompletionStage<CallerResponse> handle(RequestContext context) {
        RelaySession session =
                new RelaySession(context, origin, directory, policy, clock, events, this::delay, retries);
        return session.begin()
                .thenCompose(
                        attempt -> attempt.head().thenCompose(head -> toResponse(context, session, attempt, head)));
    }

    private CompletionStage<CallerResponse> toResponse(
            RequestContext context, RelaySession session, Attempt attempt, AnswerHead head) {
        Source<ByteString, NotUsed> chunks = Source.fromGraph(new ResponseStage(attempt, session::resume));
        if (context.request().stream() && head.getStatus() < FIRST_ERROR_STATUS) {
            attempt.cancelDeadline();
            return CompletableFuture.completedFuture(new CallerResponse.Streamed(
                    head.getStatus(), contentTypeOf(head), EventStreams.toEventStream(chunks)));
        }
        return buffer(chunks)
                .thenApply(body -> new CallerResponse.Complete(head.getStatus(), contentTypeOf(head), body));
    }

    private CompletionStage<ByteString> buffer(Source<ByteString, NotUsed> chunks) {
        return chunks.limitWeighted(MAX_BUFFERED_BYTES, chunk -> (long) chunk.size())
                .mapError(
                        StreamLimitReachedException.class,
                        cause -> new RequestException(
                                ErrorCode.ENDPOINT_FAILED,
                                Outcome.UNKNOWN,
                                "the response is larger than " + MAX_BUFFERED_BYTES + " bytes"))
                .runFold(
                        new ByteArrayOutputStream(),
                        (body, chunk) -> {
                            body.writeBytes(chunk.toArrayUnsafe());
                            return body;
                        },
                        system)
                .thenApply(body -> ByteString.fromArrayUnsafe(body.toByteArray()));
    }

    private Cancellable delay(Runnable task, long delayMillis) {
        return system.scheduler().scheduleOnce(Duration.ofMillis(delayMillis), task, system.executionContext());
    }

    private static String contentTypeOf(AnswerHead head) {
        return head.getHeadersList().stream()
                .filter(header -> header.getName().equals("content-type"))
                .map(Header::getValue)
                .findFirst()
                .orElse("application/octet-stream");
    }
}
