package org.jasminehub.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.ByteArrayOutputStream;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.gateway.net.CallerResponse;
import org.jasminehub.platform.hosted.AnswerHeaders;
import org.jasminehub.platform.hosted.AnswerHeadersAdapter;
import org.jspecify.annotations.Nullable;

/**
 * Delivers an answer once it is whole, so that one that is cut can be asked for again; an answer too large to hold is
 * passed on as it comes.
 */
final class WholeRelay implements AnswerRelay {
    /** Bounds what one answer holds in memory; answers of usual size are far below. */
    private static final int MAX_HELD_BYTES = 256 << 10;

    private final RunningCall call;
    private final Attempt attempt;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private HttpResponseStatus status = HttpResponseStatus.OK;
    private @Nullable HttpHeaders headers;
    private boolean isNotRun;
    private long length = CallerResponse.UNKNOWN_LENGTH;

    WholeRelay(RunningCall call, Attempt attempt) {
        this.call = call;
        this.attempt = attempt;
    }

    @Override
    public void begin(HttpResponseStatus answerStatus, HttpHeaders answerHeaders, AnswerHeaders read) {
        status = answerStatus;
        isNotRun = read.isNotRun();
        headers = AnswerHeadersAdapter.forCaller(answerHeaders);
        length = answerHeaders.contains(HttpHeaderNames.CONTENT_LENGTH)
                ? Long.parseLong(answerHeaders.get(HttpHeaderNames.CONTENT_LENGTH))
                : CallerResponse.UNKNOWN_LENGTH;
    }

    @Override
    public void part(byte[] bytes) {
        if (call.isHeadSent()) {
            call.answer().part(bytes);
            return;
        }
        held.writeBytes(bytes);
        if (held.size() > MAX_HELD_BYTES && headers != null && !isNotRun) {
            call.answer().begin(status, headers, length);
            call.onHeadSent();
            call.answer().part(held.toByteArray());
            held.reset();
        }
    }

    @Override
    public void end() {
        if (isNotRun) {
            boolean isMisdirected = status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
            attempt.fail(
                    isMisdirected ? AttemptEnd.MISDIRECTED : AttemptEnd.NOT_RUN,
                    "refused with status " + status.code());
        } else if (status.codeClass() == HttpStatusClass.SERVER_ERROR && !call.isHeadSent()) {
            attempt.fail(AttemptEnd.FAILED, "failed with status " + status.code(), this::deliver);
        } else {
            deliverServed();
        }
    }

    private void deliverServed() {
        int code = status.code();
        boolean isBegun = call.isHeadSent();
        HttpHeaders answerHeaders = headers;
        attempt.succeed(code);
        if (isBegun) {
            call.answer().end();
        } else if (answerHeaders != null) {
            call.answer().complete(status, answerHeaders, held.toByteArray());
        }
    }

    private void deliver() {
        HttpHeaders answerHeaders = headers;
        if (answerHeaders == null) {
            return;
        }
        boolean isPromise = status.code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
        if (isPromise) {
            // The endpoint did not state that it has not run the call, so the caller must not read that from it.
            call.giveUp(AttemptEnd.FAILED, "failed with status " + status.code());
            return;
        }
        call.onServed(status.code());
        call.answer().complete(status, answerHeaders, held.toByteArray());
    }
}
