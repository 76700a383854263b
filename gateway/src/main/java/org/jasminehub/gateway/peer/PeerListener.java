package org.jasminehub.gateway.peer;

import org.jasminehub.wire.generated.PeerEnvelope;

/** Receives the events and messages of connections to peers. */
public interface PeerListener {
    /** Called when the connection is established. */
    void onConnected(PeerConnection connection);

    /** Called for each received message. */
    void onMessage(PeerConnection connection, PeerEnvelope message);

    /** Called when the connection is closed. */
    void onClosed(PeerConnection connection);
}
