package org.jasminehub.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.jasminehub.core.balance.SilentStreamPolicy;
import org.jasminehub.core.stream.StreamEvent;
import org.jspecify.annotations.Nullable;

/** The part of a call's response that the caller has, which decides what another endpoint may add to it. */
final class DeliveredResponse {
    private static final String EVENT_STREAM = "text/event-stream";

    private @Nullable HttpResponseStatus status;
    private @Nullable CharSequence mediaType;
    private boolean isHeadSent;
    private boolean isPositionKnown;

    /** Called when the head of a stream is sent. */
    void onStreamHead(HttpResponseStatus sentStatus, HttpHeaders headers) {
        isHeadSent = true;
        status = sentStatus;
        mediaType = mediaType(headers);
    }

    /** Called when the head of a response that is not relayed event by event is sent. */
    void onOtherHead() {
        isHeadSent = true;
    }

    /** Called for each event that is relayed. */
    void onEvent(StreamEvent event) {
        if (event.id() != null || !event.isComment()) {
            isPositionKnown = event.id() != null;
        }
    }

    /** Returns whether another endpoint can continue the response. */
    boolean canContinue() {
        return SilentStreamPolicy.canContinue(isHeadSent, isPositionKnown);
    }

    /** Returns whether a response with this head can continue the stream; any can if nothing has been sent. */
    boolean isContinuedBy(HttpResponseStatus nextStatus, HttpHeaders headers) {
        if (status == null) {
            return true;
        }
        CharSequence nextType = mediaType(headers);
        boolean isSameType = nextType == null
                || EVENT_STREAM.equalsIgnoreCase(nextType.toString())
                || (mediaType != null && mediaType.toString().equalsIgnoreCase(nextType.toString()));
        return status.equals(nextStatus) && isSameType;
    }

    private static @Nullable CharSequence mediaType(HttpHeaders headers) {
        String contentType = headers.get(HttpHeaderNames.CONTENT_TYPE);
        return contentType == null ? null : HttpUtil.getMimeType(contentType);
    }
}
