package org.jasminehub.gateway.control;

import java.util.function.Consumer;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.PeerStatus;

/** A user of the connections between instances, beside the exchange of statuses. */
public interface PeerExtension {
    /** Called when a connection to a peer is established; {@code send} sends a message to it. */
    default void onPeerConnected(Consumer<PeerEnvelope> send) {}

    /** Adds the fields of this user to a status that is about to be sent to all peers. */
    default void addTo(PeerStatus.Builder status) {}

    /** Called for each status received from the peer {@code instance}. */
    default void onPeerStatus(String instance, PeerStatus status) {}

    /** Called for each message that is no part of the exchange of statuses. */
    default void onPeerMessage(PeerEnvelope message) {}
}
