package org.jasminehub.core.error;

import org.jspecify.annotations.Nullable;

/**
 * Thrown to end a request with an error response.
 *
 * <p>Carries the error code, what is known about the effect of the request, and when the caller may retry.
 *
 * <pre>{@code
 * throw new RequestException(ErrorCode.OVERLOADED, Outcome.NOT_RUN, 1200, "queue of endpoint text-3 is full");
 * }</pre>
 */
public final class RequestException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    /** The value of {@link #retryAfterMillis()} if a retry would fail again. */
    public static final long NO_RETRY = -1;

    private final Outcome outcome;
    private final long retryAfterMillis;

    /** Creates an exception for a request that would fail again if it was retried. */
    public RequestException(ErrorCode code, Outcome outcome, String message) {
        this(code, outcome, NO_RETRY, message, null);
    }

    /** Creates an exception for a request that the caller may retry after {@code retryAfterMillis}. */
    public RequestException(ErrorCode code, Outcome outcome, long retryAfterMillis, String message) {
        this(code, outcome, retryAfterMillis, message, null);
    }

    /** Creates an exception with its cause, which may be null. */
    public RequestException(
            ErrorCode code, Outcome outcome, long retryAfterMillis, String message, @Nullable Throwable cause) {
        super(code, message, cause, false);
        this.outcome = outcome;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** Returns what is known about the effect of the request. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the delay in milliseconds after which the caller may retry, or {@link #NO_RETRY}. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
