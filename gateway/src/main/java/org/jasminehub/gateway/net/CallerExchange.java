package org.jasminehub.gateway.net;

/** What a running request wants to know of its caller's connection. */
public interface CallerExchange {
    /** The caller has gone; no answer can reach it. */
    void onCallerGone();

    /** The caller takes bytes again, or no more for now. */
    void onWritabilityChanged(boolean isWritable);
}
