package org.jasminehub.core.balance;

/**
 * Decides from the head of an endpoint's response whether it may reach the caller as it is.
 *
 * <p>Callers read the statuses 408, 421, 429 and 503 as "not run, and never will be". Such a response therefore never
 * reaches them unchanged: either the endpoint proves that it did not run the call, and the call is retried or refused
 * by this instance, or the call may have run, and the caller gets a failure that promises nothing.
 */
public final class ResponsePolicy {
    private static final int STATUS_REQUEST_TIMEOUT = 408;
    private static final int STATUS_MISDIRECTED = 421;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MIN_REDIRECT_STATUS = 300;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int MAX_STATUS = 599;

    /** What happens to a response. */
    public enum Decision {
        /** It is relayed. */
        RELAY,
        /** The endpoint failed: the call is retried, or the response is relayed if that is not possible. */
        RETRY_OR_RELAY,
        /** The endpoint failed: the call is retried, or this instance responds if that is not possible. */
        RETRY_OR_REPLACE,
        /** The endpoint did not run the call. */
        NOT_RUN,
        /** A different endpoint now answers at the address; it did not run the call. */
        MISDIRECTED,
        /** It is no valid response, and the call may have run. */
        INVALID
    }

    private ResponsePolicy() {}

    /**
     * Decides on a response.
     *
     * @param status the HTTP status of a final response
     * @param isSigned whether the response carries the endpoint's signature
     * @param isNotRun whether the endpoint states that it did not run the call
     */
    public static Decision decide(int status, boolean isSigned, boolean isNotRun) {
        if (status < MIN_SUCCESS_STATUS || status > MAX_STATUS) {
            return Decision.INVALID;
        }
        if (status < MIN_REDIRECT_STATUS) {
            // A success that states "not run" contradicts itself.
            return isSigned && !isNotRun ? Decision.RELAY : Decision.INVALID;
        }
        if (status == STATUS_MISDIRECTED) {
            return Decision.MISDIRECTED;
        }
        if (isNotRun) {
            return Decision.NOT_RUN;
        }
        if (promisesNotRun(status)) {
            return Decision.RETRY_OR_REPLACE;
        }
        return status < MIN_SERVER_ERROR_STATUS ? Decision.RELAY : Decision.RETRY_OR_RELAY;
    }

    /** Returns whether callers take a response with {@code status} as the promise that the call has not run. */
    public static boolean promisesNotRun(int status) {
        return status == STATUS_REQUEST_TIMEOUT
                || status == STATUS_MISDIRECTED
                || status == STATUS_TOO_MANY_REQUESTS
                || status == STATUS_UNAVAILABLE;
    }
}
