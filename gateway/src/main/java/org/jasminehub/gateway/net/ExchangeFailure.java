package org.jasminehub.gateway.net;

/** The reasons for which an exchange with an endpoint can end without a complete response. */
public enum ExchangeFailure {
    /** No connection could be established, so the endpoint has not received the request. */
    NOT_CONNECTED,
    /** The request was not sent, because its {@link ExchangeMonitor} no longer allowed it. */
    WITHHELD,
    /** The connection was closed before the response was complete. */
    CUT,
    /** The endpoint sent bytes that are not a valid response. */
    MALFORMED,
    /** The exchange was cancelled by this process. */
    CANCELLED
}
