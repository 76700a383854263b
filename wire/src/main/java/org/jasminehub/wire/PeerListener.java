package org.jasminehub.wire;

import org.jasminehub.wire.generated.EndpointLoad;
import org.jasminehub.wire.generated.Hello;

/** Hears of the peer at the other end of a client's connection; called on a thread of the transport. */
public interface PeerListener {
    /** The connection stands and the peer said who it is; also called when the peer says so again. */
    void onHello(Hello hello);

    /** The peer reported its endpoint's load. */
    void onLoad(EndpointLoad load);

    /** The connection is gone. */
    void onDisconnected();
}
