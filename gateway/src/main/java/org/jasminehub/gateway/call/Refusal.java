package org.jasminehub.gateway.call;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.gateway.net.CallerResponse;
import org.jasminehub.platform.hosted.CallHeadersAdapter;

/**
 * A response with which this instance itself refuses or fails a call.
 *
 * @param code the error code sent to the caller
 * @param status the HTTP status
 * @param retryAfterMillis the delay after which the caller should retry, or {@link #NO_RETRY}
 * @param reason the text for the log line and the response body
 */
public record Refusal(ErrorCode code, int status, long retryAfterMillis, String reason) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Value of {@link #retryAfterMillis} for responses without a Retry-After header. */
    public static final long NO_RETRY = -1;

    static Refusal of(ErrorCode code, String reason) {
        return new Refusal(code, code.httpStatus(), NO_RETRY, reason);
    }

    static Refusal of(ErrorCode code, int status, String reason) {
        return new Refusal(code, status, NO_RETRY, reason);
    }

    static Refusal retryable(ErrorCode code, long retryAfterMillis, String reason) {
        return new Refusal(code, code.httpStatus(), retryAfterMillis, reason);
    }

    /** Returns the refusal of a stopping instance; other instances accept the call at once, so there is no delay. */
    static Refusal leaving(String reason) {
        return retryable(ErrorCode.LEAVING, 0, reason);
    }

    /** Returns the refusal of a call whose prompt contains the quarantined {@code parts}. */
    static Refusal quarantined(String parts, long remainingMillis) {
        return retryable(ErrorCode.PROMPT_QUARANTINED, remainingMillis, "prompts with " + parts + " crash endpoints");
    }

    /** Writes this response; {@code requestId} is empty if the request had none. */
    void write(CallerResponse answer, String requestId) {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        CallHeadersAdapter.setRequestId(headers, requestId);
        if (retryAfterMillis >= 0) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
        }
        String text = code.code() + ": " + reason + "\n";
        answer.complete(HttpResponseStatus.valueOf(status), headers, text.getBytes(StandardCharsets.UTF_8));
    }
}
