package org.jasminehub.wire;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * A peer's connection was closed because of what it sent.
 *
 * @param address the peer's address
 * @param reason the protocol violation, or the class name of the exception
 */
public record PeerRejected(String address, String reason) implements Event {
    @Override
    public EventKind kind() {
        return WireEventKind.PEER_REJECTED;
    }
}
