package org.jasminehub.wire;

/** A call that this process made. Safe for use by several threads. */
public interface OutgoingCall {
    /** Lets the peer send {@code chunks} more chunks. */
    void credit(int chunks);

    /** Tells the peer that nobody waits for the answer; the listener hears nothing more. */
    void cancel();
}
