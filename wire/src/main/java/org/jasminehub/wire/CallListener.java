package org.jasminehub.wire;

/** Receives credit and cancellation of an incoming call; called on an I/O thread, must not block. */
public interface CallListener {
    /** Called when the peer allows {@code chunks} more chunks to be sent. */
    void onCredit(int chunks);

    /** Called when the peer cancelled the call or its connection was closed. */
    void onCancel();
}
