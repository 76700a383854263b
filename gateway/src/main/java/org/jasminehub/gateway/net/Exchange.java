package org.jasminehub.gateway.net;

/** A request to an endpoint whose response has not been received completely. */
public interface Exchange {
    /** Cancels the exchange by closing the connection; the sink is not notified. */
    void cancel();

    /** Stops or resumes reading the response. */
    void setReading(boolean isReading);
}
