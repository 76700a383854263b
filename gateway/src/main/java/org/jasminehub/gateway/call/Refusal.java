package org.jasminehub.gateway.call;

import org.jasminehub.core.error.ErrorCode;

/**
 * A final answer of this system's own.
 *
 * @param code what the caller sees
 * @param status the HTTP status
 * @param retryAfterMillis when to come back, {@link #NO_RETRY} where that is not said
 * @param reason for the log line and the answer's text
 */
public record Refusal(ErrorCode code, int status, long retryAfterMillis, String reason) {
    /** No time to come back is stated. */
    public static final long NO_RETRY = -1;

    static Refusal of(ErrorCode code, String reason) {
        return new Refusal(code, code.httpStatus(), NO_RETRY, reason);
    }

    static Refusal of(ErrorCode code, int status, String reason) {
        return new Refusal(code, status, NO_RETRY, reason);
    }

    static Refusal later(ErrorCode code, long retryAfterMillis, String reason) {
        return new Refusal(code, code.httpStatus(), retryAfterMillis, reason);
    }
}
