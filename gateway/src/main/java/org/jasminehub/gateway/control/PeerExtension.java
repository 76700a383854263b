package org.jasminehub.gateway.control;

import java.util.function.Consumer;
import org.jasminehub.wire.generated.PeerEnvelope;

/** A user of the connections between instances, beside the exchange of statuses. */
public interface PeerExtension {
    /** Called when a connection to a peer is established; {@code send} sends a message to it. */
    void onPeerConnected(Consumer<PeerEnvelope> send);

    /** Called for each message that is no part of the exchange of statuses. */
    void onPeerMessage(PeerEnvelope message);
}
