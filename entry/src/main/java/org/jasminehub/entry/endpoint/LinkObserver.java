package org.jasminehub.entry.endpoint;

import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.wire.generated.Hello;

/** Observes the peers of this instance's connections. Called on an I/O thread, must not block. */
public interface LinkObserver {
    /** Called when a peer sent a message; {@code peer} is its last hello message. */
    void onPeerMessage(Hello peer);

    /** Called when the connection to {@code instance} was lost or could not be opened. */
    void onConnectionFailed(InstanceId instance);
}
