package org.jasminehub.gateway.peer;

import org.jasminehub.wire.generated.PeerEnvelope;

/** Takes what comes over a connection to a peer. */
public interface PeerListener {
    /** The connection is up. */
    void onConnected(PeerConnection connection);

    /** A message has come. */
    void onMessage(PeerConnection connection, PeerEnvelope message);

    /** The connection is gone. */
    void onClosed(PeerConnection connection);
}
