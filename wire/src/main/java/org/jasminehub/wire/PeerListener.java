package org.jasminehub.wire;

import org.jasminehub.wire.generated.EndpointLoad;
import org.jasminehub.wire.generated.Hello;

/** Receives messages and state changes of the peer that a {@link WireClient} connects to; called on an I/O thread. */
public interface PeerListener {
    /** Called when the peer has identified itself after connecting, and each time it sends an updated hello. */
    void onHello(Hello hello);

    /** Called when the peer reports the load of its endpoint. */
    void onLoad(EndpointLoad load);

    /** Called when a connection could not be opened, has failed or was closed. */
    void onDisconnected();
}
