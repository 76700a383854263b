package org.jasminehub.gateway.net;

/** What a running request wants to know of its caller's connection. */
public interface CallerExchange {
    /** Stands for a request that was answered before its handler returned. */
    CallerExchange NOTHING_OPEN = new CallerExchange() {
        @Override
        public void onCallerGone() {}

        @Override
        public void onWritabilityChanged(boolean isWritable) {}
    };

    /** The caller has gone; no answer can reach it. */
    void onCallerGone();

    /** The caller takes bytes again, or no more for now. */
    void onWritabilityChanged(boolean isWritable);
}
