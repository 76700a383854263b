package org.jasminehub.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.ByteArrayOutputStream;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.gateway.net.CallerResponse;
import org.jasminehub.platform.hosted.ResponseHeadersAdapter;
import org.jspecify.annotations.Nullable;

/**
 * Buffers a response and delivers it once it is complete, so that the call can be retried if the response is truncated
 * or a server error. A response that exceeds the buffer limit is relayed as it arrives.
 */
final class BufferedRelay implements ResponseRelay {
    /** Limits the memory used per response; typical responses are far smaller. */
    private static final int MAX_BUFFERED_BYTES = 256 << 10;

    private final RunningCall call;
    private final Attempt attempt;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private HttpResponseStatus status = HttpResponseStatus.OK;
    private @Nullable HttpHeaders headers;
    private long contentLength = CallerResponse.UNKNOWN_LENGTH;

    BufferedRelay(RunningCall call, Attempt attempt) {
        this.call = call;
        this.attempt = attempt;
    }

    @Override
    public void begin(HttpResponseStatus responseStatus, HttpHeaders responseHeaders) {
        status = responseStatus;
        headers = ResponseHeadersAdapter.forCaller(responseHeaders);
        contentLength = responseHeaders.contains(HttpHeaderNames.CONTENT_LENGTH)
                ? Long.parseLong(responseHeaders.get(HttpHeaderNames.CONTENT_LENGTH))
                : CallerResponse.UNKNOWN_LENGTH;
    }

    @Override
    public void part(byte[] bytes) {
        if (call.isHeadSent()) {
            call.answer().part(bytes);
            return;
        }
        buffer.writeBytes(bytes);
        if (buffer.size() > MAX_BUFFERED_BYTES && headers != null) {
            call.attempts().onDelivery(attempt);
            call.answer().begin(status, headers, contentLength);
            call.delivered().onOtherHead();
            call.onHeadSent();
            call.answer().part(buffer.toByteArray());
            buffer.reset();
        }
    }

    @Override
    public void end() {
        if (status.codeClass() == HttpStatusClass.SERVER_ERROR && !call.isHeadSent()) {
            attempt.fail(AttemptEnd.FAILED, "failed with status " + status.code(), this::deliverServerError);
        } else {
            deliverServed();
        }
    }

    private void deliverServed() {
        int code = status.code();
        boolean isBegun = call.isHeadSent();
        HttpHeaders responseHeaders = headers;
        attempt.succeed(code);
        if (isBegun) {
            call.answer().end();
        } else if (responseHeaders != null) {
            call.answer().complete(status, responseHeaders, buffer.toByteArray());
        }
    }

    private void deliverServerError() {
        HttpHeaders responseHeaders = headers;
        if (responseHeaders == null) {
            return;
        }
        call.onServed(status.code());
        call.answer().complete(status, responseHeaders, buffer.toByteArray());
    }
}
