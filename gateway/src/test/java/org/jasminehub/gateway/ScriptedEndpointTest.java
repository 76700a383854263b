package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;

/** Tests that a closed endpoint is recognized as down by whoever connects to it next. */
final class ScriptedEndpointTest {
    private static final int ENDPOINTS = 300;

    @Test
    void testAClosedEndpointAcceptsNoConnections() throws IOException {
        for (int index = 0; index < ENDPOINTS; index++) {
            ScriptedEndpoint endpoint = new ScriptedEndpoint(new ArrayDeque<>());
            int port = endpoint.port();
            new Socket(InetAddress.getLoopbackAddress(), port).close();

            endpoint.close();

            assertThrows(SocketException.class, () -> new Socket(InetAddress.getLoopbackAddress(), port).close());
        }
    }
}
