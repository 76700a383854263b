package org.jasminehub.gateway.call;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.core.balance.SilentStreamPolicy;
import org.jasminehub.core.balance.SilentStreamPolicy.EventDecision;
import org.jasminehub.core.stream.EventSplitter;
import org.jasminehub.core.stream.StreamEvent;
import org.jasminehub.gateway.net.CallerResponse;
import org.jasminehub.platform.hosted.ResponseHeaders;
import org.jasminehub.platform.hosted.ResponseHeadersAdapter;
import org.jspecify.annotations.Nullable;

/**
 * Relays the complete events of a stream as they arrive, each event id once and in order. If the stream is interrupted
 * or silent, the response to the caller continues with the events of another endpoint. Nothing is relayed from that
 * endpoint before its first event that continues the stream.
 */
final class StreamRelay implements ResponseRelay {
    private final RunningCall call;
    private final Attempt attempt;
    private final EventSplitter splitter = new EventSplitter();
    private HttpResponseStatus status = HttpResponseStatus.OK;
    private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
    private boolean hasDelivered;
    private boolean hasDiscardedContent;

    StreamRelay(RunningCall call, Attempt attempt) {
        this.call = call;
        this.attempt = attempt;
    }

    @Override
    public void begin(HttpResponseStatus responseStatus, HttpHeaders responseHeaders, ResponseHeaders parsedHeaders) {
        status = responseStatus;
        headers = responseHeaders;
        if (!call.delivered().isContinuedBy(status, headers)) {
            attempt.fail(
                    AttemptEnd.MAY_HAVE_RUN,
                    "status " + status.code() + " with type " + headers.get(HttpHeaderNames.CONTENT_TYPE)
                            + " does not continue the stream");
        }
    }

    /** Returns whether the caller's last event is from another attempt. */
    private boolean isContinuation() {
        return call.attempts().isCandidate(attempt) || (call.isHeadSent() && !hasDelivered);
    }

    /** Sends the head with the first event, since a call without an event can still be answered with an error. */
    private void sendHead() {
        if (!call.isHeadSent()) {
            call.answer().begin(status, ResponseHeadersAdapter.forCaller(headers), CallerResponse.UNKNOWN_LENGTH);
            call.delivered().onStreamHead(status, headers);
            call.onHeadSent();
        }
    }

    @Override
    public void part(byte[] bytes) {
        for (StreamEvent event : splitter.take(bytes)) {
            @Nullable Long id = event.id();
            EventDecision decision =
                    SilentStreamPolicy.decide(id, call.lastEventId(), call.hasOutput(), isContinuation());
            if (decision == EventDecision.FAIL_ATTEMPT) {
                attempt.fail(AttemptEnd.MAY_HAVE_RUN, "event " + id + " received after event " + call.lastEventId());
                return;
            }
            if (decision == EventDecision.DISCARD) {
                hasDiscardedContent |= !event.isComment();
                continue;
            }
            hasDelivered = true;
            call.attempts().onDelivery(attempt);
            sendHead();
            call.answer().part(event.bytes());
            call.delivered().onEvent(event);
            if (id != null) {
                call.onEventDelivered(id);
            }
            attempt.onProgress();
        }
        if (splitter.isEventTooLarge()) {
            attempt.fail(AttemptEnd.MAY_HAVE_RUN, "event is too large");
        } else if (!call.answer().isWritable()) {
            attempt.setReading(false);
        }
    }

    @Override
    public void end() {
        if (splitter.hasPartialEvent()) {
            attempt.fail(AttemptEnd.MAY_HAVE_RUN, "stream ended inside an event");
            return;
        }
        if (hasDiscardedContent && !hasDelivered) {
            // For example an error event: the end of such a response is not the end of the stream.
            attempt.fail(AttemptEnd.MAY_HAVE_RUN, "stream ended without an event that continues it");
            return;
        }
        if (!call.hasOutput()) {
            attempt.failCut("stream ended without an event");
            return;
        }
        sendHead();
        attempt.succeed(status.code());
        call.answer().end();
    }
}
