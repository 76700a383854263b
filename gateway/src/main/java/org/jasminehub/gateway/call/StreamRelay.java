package org.jasminehub.gateway.call;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.core.balance.SilentStreamPolicy;
import org.jasminehub.core.balance.SilentStreamPolicy.EventDecision;
import org.jasminehub.core.stream.EventSplitter;
import org.jasminehub.core.stream.StreamEvent;
import org.jasminehub.gateway.net.CallerResponse;
import org.jasminehub.platform.hosted.ResponseHeadersAdapter;

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
    public void begin(HttpResponseStatus responseStatus, HttpHeaders responseHeaders) {
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

    /** Called before the first of the events that are delivered together. */
    private void onDelivery() {
        hasDelivered = true;
        call.attempts().onDelivery(attempt);
        sendHead();
    }

    private void deliver(ByteArrayOutputStream delivered, int events) {
        if (events > 0) {
            call.answer().part(delivered.toByteArray());
            attempt.onProgress(events);
        }
    }

    @Override
    public void part(byte[] bytes) {
        // One write for all events of a read: the endpoint determines how many they are.
        ByteArrayOutputStream delivered = new ByteArrayOutputStream(bytes.length);
        int events = 0;
        for (StreamEvent event : splitter.take(bytes)) {
            EventDecision decision =
                    SilentStreamPolicy.decide(event.id(), call.lastEventId(), call.hasOutput(), isContinuation());
            if (decision == EventDecision.FAIL_ATTEMPT) {
                deliver(delivered, events);
                attempt.fail(
                        AttemptEnd.MAY_HAVE_RUN, "event " + event.id() + " received after event " + call.lastEventId());
                return;
            }
            if (decision == EventDecision.DISCARD) {
                hasDiscardedContent |= !event.isComment();
                continue;
            }
            if (events == 0) {
                onDelivery();
            }
            delivered.writeBytes(event.bytes());
            call.delivered().onEvent(event);
            if (event.id() != null) {
                call.onEventDelivered(event.id());
            }
            events++;
        }
        deliver(delivered, events);
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
        byte[] blankLines = splitter.takeBlankLines();
        if (hasDelivered && blankLines.length > 0) {
            call.answer().part(blankLines);
        }
        attempt.succeed(status.code());
        call.answer().end();
    }
}
