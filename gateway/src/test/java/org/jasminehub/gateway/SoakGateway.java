package org.jasminehub.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;

/** An entry instance of a soak run, from its start to its end. Thread-safe. */
interface SoakGateway {
    String KEY = "key-1";

    String name();

    /** Returns the time from the stop request to the forced end, in seconds. */
    double graceSeconds();

    /** Returns when the stop was requested, 0 before. */
    long signalNanos();

    /** Returns when the instance had ended, 0 before. */
    long endedNanos();

    boolean isEnded();

    /** Connects to the address of the instance, whether or not it is stopping. */
    default Socket connect() throws IOException {
        return connect(0);
    }

    /** Connects like {@link #connect()}, with a receive buffer of that size, or of the default size if it is 0. */
    Socket connect(int receiveBufferBytes) throws IOException;

    /** Opens a socket to an address of the loopback interface with a time-out for reads. */
    static Socket open(InetSocketAddress address, int receiveBufferBytes) throws IOException {
        Socket socket = new Socket();
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.setSoTimeout((int) GatewayHarness.TIMEOUT.toMillis());
        try {
            socket.connect(address);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
        return socket;
    }

    String describe();

    /** Returns the logged events about the call {@code id}, in order; empty if the instance never processed it. */
    List<String> callEvents(String id);
}
