package org.jasminehub.agent.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.sse.ServerSentEvent;
import org.apache.pekko.http.javadsl.unmarshalling.sse.EventStreamUnmarshalling;
import org.apache.pekko.stream.StreamTcpException;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.jasminehub.agent.call.AgentCall;
import org.jasminehub.agent.call.CallHandler;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.wire.generated.Header;
import org.jspecify.annotations.Nullable;

/**
 * Sends calls to the endpoint and relays the responses: a stream as one chunk per event, and any other response in the
 * pieces in which its bytes arrive.
 *
 * <p>A stream is complete only if the engine ended it with {@value #STREAM_END}. An event of the type {@value
 * #ERROR_EVENT} is not relayed; it fails the call. Thread-safe.
 */
public final class EndpointRelay implements CallHandler {
    private static final String STREAM_END = "[DONE]";
    private static final String ERROR_EVENT = "error";
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final long RETRY_AFTER_MILLIS = 200;

    private final ActorSystem<?> system;
    private final EndpointClient client;
    private final boolean isModel;
    private final EventSink events;

    /**
     * Creates a relay; {@code isModel} is true for a model engine, whose requests may be retried, and false for a
     * service.
     */
    public EndpointRelay(ActorSystem<?> system, EndpointClient client, boolean isModel, EventSink events) {
        this.system = system;
        this.client = client;
        this.isModel = isModel;
        this.events = events;
    }

    @Override
    public void handle(AgentCall call) {
        client.send(call.start())
                .thenAccept(response -> onResponse(call, response))
                .exceptionally(failure -> {
                    fail(call, failure);
                    return null;
                });
    }

    private void onResponse(AgentCall call, HttpResponse response) {
        int status = response.status().intValue();
        if (isModel && status >= FIRST_SERVER_ERROR_STATUS) {
            response.discardEntityBytes(system);
            call.refuse(
                    ErrorCode.ENDPOINT_FAILED, Outcome.UNKNOWN, RETRY_AFTER_MILLIS, "the engine answered " + status);
            return;
        }
        call.head(status, headersOf(response));
        if (call.start().getStream() && response.status().isSuccess()) {
            relayEvents(call, response);
        } else {
            relayBytes(call, response);
        }
    }

    private void relayEvents(AgentCall call, HttpResponse response) {
        EventStreamUnmarshalling.fromEventsStream(system.classicSystem())
                .unmarshal(new LineLimit().applyTo(response.entity()), system)
                .thenAccept(events -> relayEvents(call, events))
                .exceptionally(failure -> {
                    fail(call, failure);
                    return null;
                });
    }

    private void relayEvents(AgentCall call, Source<ServerSentEvent, NotUsed> eventStream) {
        AtomicBoolean isComplete = new AtomicBoolean();
        Source<ByteString, NotUsed> chunks = eventStream
                .takeWhile(event -> !ERROR_EVENT.equals(event.getEventType().orElse("")))
                .map(ServerSentEvent::getData)
                .takeWhile(data -> !isStreamEnd(data, isComplete))
                .map(ByteString::fromString);
        run(call, chunks, isComplete);
    }

    private static boolean isStreamEnd(String data, AtomicBoolean isComplete) {
        if (data.equals(STREAM_END)) {
            isComplete.set(true);
        }
        return isComplete.get();
    }

    private void relayBytes(AgentCall call, HttpResponse response) {
        Source<ByteString, NotUsed> chunks =
                response.entity().getDataBytes().mapMaterializedValue(ignored -> NotUsed.getInstance());
        run(call, chunks, new AtomicBoolean(true));
    }

    private void run(AgentCall call, Source<ByteString, NotUsed> chunks, AtomicBoolean isComplete) {
        chunks.runWith(new CallSink(call), system).whenComplete((Done done, @Nullable Throwable failure) -> {
            if (call.hasEnded()) {
                return;
            }
            if (failure != null) {
                fail(call, failure);
            } else if (isComplete.get()) {
                call.end();
            } else {
                reportFailure(call, Outcome.UNKNOWN, "the engine ended its stream early");
            }
        });
    }

    private void fail(AgentCall call, @Nullable Throwable failure) {
        Outcome outcome = isConnectFailure(failure) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        reportFailure(call, outcome, "the endpoint failed: " + failure);
    }

    private void reportFailure(AgentCall call, Outcome outcome, String message) {
        events.emit(
                new EndpointCallFailed(call.start().getRequestId(), call.start().getAttempt(), message));
        call.refuse(ErrorCode.ENDPOINT_FAILED, outcome, RETRY_AFTER_MILLIS, message);
    }

    /** Returns whether the connection was refused, in which case no part of the request was sent. */
    public static boolean isConnectFailure(@Nullable Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof StreamTcpException
                    && String.valueOf(cause.getMessage()).contains("Connection refused")) {
                return true;
            }
        }
        return false;
    }

    private static List<Header> headersOf(HttpResponse response) {
        List<Header> headers = new ArrayList<>();
        headers.add(Header.newBuilder()
                .setName("content-type")
                .setValue(response.entity().getContentType().toString())
                .build());
        return headers;
    }
}
