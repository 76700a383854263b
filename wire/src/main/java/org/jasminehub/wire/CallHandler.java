package org.jasminehub.wire;

/** Handles incoming calls; called on an I/O thread, must not block. */
@FunctionalInterface
public interface CallHandler {
    /** Starts {@code call}; the response may be sent from any thread. */
    void onCall(IncomingCall call);
}
