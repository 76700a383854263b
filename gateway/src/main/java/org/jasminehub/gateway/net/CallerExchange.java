package org.jasminehub.gateway.net;

/** Receives the events of the caller's connection while a request is being processed. */
public interface CallerExchange {
    /** Returned for a request whose response was sent before the handler returned. */
    CallerExchange COMPLETED = new CallerExchange() {
        @Override
        public void onCallerDisconnected() {}

        @Override
        public void onWritabilityChanged(boolean isWritable) {}
    };

    /** Called when the caller has closed the connection, so that no response can be delivered. */
    void onCallerDisconnected();

    /** Called when the connection becomes writable, or stops being so because the caller reads too slowly. */
    void onWritabilityChanged(boolean isWritable);
}
