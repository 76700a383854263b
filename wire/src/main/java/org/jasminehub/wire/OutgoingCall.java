package org.jasminehub.wire;

/** A call that this process sent to a peer. Thread-safe. */
public interface OutgoingCall {
    /** Allows the peer to send {@code chunks} more chunks. */
    void credit(int chunks);

    /** Cancels the call at the peer; the listener is not called any more. */
    void cancel();
}
