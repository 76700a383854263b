package org.jasminehub.gateway.net;

/** A request to an endpoint whose response has not been received completely. */
public interface Exchange {
    /** Cancels the exchange by closing the connection; the sink is not notified. */
    void cancel();

    /**
     * Returns whether the request was the first one on its connection, so that no response to an earlier request can
     * arrive on it; false as long as nothing has been written.
     */
    boolean isFirstOnConnection();

    /** Stops or resumes reading the response. */
    void setReading(boolean isReading);
}
