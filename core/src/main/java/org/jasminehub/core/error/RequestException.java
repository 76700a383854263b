package org.jasminehub.core.error;

import org.jspecify.annotations.Nullable;

/**
 * A final answer to a caller that is not the one asked for: its code, what is known of the effect, and when to come
 * back.
 *
 * <pre>{@code
 * throw new RequestException(ErrorCode.OVERLOADED, Outcome.NOT_RUN, 1200, "queue of endpoint text-3 is full");
 * }</pre>
 */
public final class RequestException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    /** The value of {@link #retryAfterMillis()} where coming back makes no difference. */
    public static final long NO_RETRY = -1;

    private final Outcome outcome;
    private final long retryAfterMillis;

    /** Creates a failure that a repeat of the same request would meet again. */
    public RequestException(ErrorCode code, Outcome outcome, String message) {
        this(code, outcome, NO_RETRY, message, null);
    }

    /** Creates a failure after which the caller may come back in {@code retryAfterMillis}. */
    public RequestException(ErrorCode code, Outcome outcome, long retryAfterMillis, String message) {
        this(code, outcome, retryAfterMillis, message, null);
    }

    /** Creates a failure with the failure that led to it; {@code cause} may be null. */
    public RequestException(
            ErrorCode code, Outcome outcome, long retryAfterMillis, String message, @Nullable Throwable cause) {
        super(code, message, cause, false);
        this.outcome = outcome;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** Returns what is known of the request's effect. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns when to come back, in milliseconds from now, or {@link #NO_RETRY}. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
