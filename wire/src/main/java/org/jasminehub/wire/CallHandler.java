package org.jasminehub.wire;

/** Runs calls that arrive; called on a thread of the transport, must not block. */
@FunctionalInterface
public interface CallHandler {
    /** Starts {@code call}; its answer may be sent from any thread. */
    void onCall(IncomingCall call);
}
