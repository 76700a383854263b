package org.jasminehub.gateway.experts;

import org.jasminehub.wire.generated.PeerEnvelope;

/** The way to or from whatever speaks for a rank. */
@FunctionalInterface
interface RankMessenger {
    /** Sends a message; it may be lost. */
    void send(PeerEnvelope message);
}
