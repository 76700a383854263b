package org.jasminehub.entry.filter;

import java.util.concurrent.CompletionException;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;

/** Unwraps and converts the failures of completion stages. */
public final class Failures {
    private Failures() {}

    /**
     * Returns the cause of {@code failure} if it is a {@link CompletionException}, otherwise {@code failure} itself.
     */
    public static Throwable causeOf(Throwable failure) {
        Throwable wrapped = failure.getCause();
        return failure instanceof CompletionException && wrapped != null ? wrapped : failure;
    }

    /** Returns {@code failure} as a {@link RequestException}. An unexpected failure has the outcome "unknown". */
    public static RequestException toRequestException(Throwable failure) {
        Throwable cause = causeOf(failure);
        if (cause instanceof RequestException known) {
            return known;
        }
        return new RequestException(
                ErrorCode.INTERNAL, Outcome.UNKNOWN, RequestException.NO_RETRY, String.valueOf(cause), cause);
    }
}
