package org.jasminehub.wire;

/** Hears what the peer of an incoming call wants; called on a thread of the transport, must not block. */
public interface CallListener {
    /** The peer takes {@code chunks} more chunks. */
    void onCredit(int chunks);

    /** The peer does not want the answer any more, or its connection is gone. */
    void onCancel();
}
