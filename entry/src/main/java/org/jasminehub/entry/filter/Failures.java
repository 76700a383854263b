package org.jasminehub.entry.filter;

import java.util.concurrent.CompletionException;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;

/** Finds out what a failed stage failed with. */
public final class Failures {
    private Failures() {}

    /** Returns what {@code failure} wraps, or {@code failure} itself where it wraps nothing. */
    public static Throwable causeOf(Throwable failure) {
        Throwable wrapped = failure.getCause();
        return failure instanceof CompletionException && wrapped != null ? wrapped : failure;
    }

    /** Returns {@code failure} as the answer to a caller; an unforeseen one leaves the outcome unknown. */
    public static RequestException toRequestException(Throwable failure) {
        Throwable cause = causeOf(failure);
        if (cause instanceof RequestException known) {
            return known;
        }
        return new RequestException(
                ErrorCode.INTERNAL, Outcome.UNKNOWN, RequestException.NO_RETRY, String.valueOf(cause), cause);
    }
}
