package org.jasminehub.gateway.experts;

import org.jasminehub.wire.generated.PeerEnvelope;

/** Sends messages to a rank, through its agent or directly, or back to a coordinator. */
@FunctionalInterface
interface RankMessenger {
    /** Sends a message without a guarantee of delivery. */
    void send(PeerEnvelope message);
}
