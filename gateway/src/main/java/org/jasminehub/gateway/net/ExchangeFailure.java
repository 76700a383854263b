package org.jasminehub.gateway.net;

/** Why an exchange with an endpoint ended without a whole answer. */
public enum ExchangeFailure {
    /** No connection came up, so the endpoint has not seen the request. */
    NOT_CONNECTED,
    /** The connection ended before the answer did. */
    CUT,
    /** The endpoint sent bytes that are no answer to this request. */
    MALFORMED,
    /** This side gave up. */
    CANCELLED
}
