package org.jasminehub.gateway.net;

/** A running exchange with an endpoint. */
public interface Exchange {
    /** Ends it at once without a failure; the endpoint sees its connection close. */
    void cancel();

    /** Stops or resumes reading the answer. */
    void setReading(boolean isReading);
}
