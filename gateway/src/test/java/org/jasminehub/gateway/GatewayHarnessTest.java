package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import org.jasminehub.gateway.net.EndpointAddress;
import org.junit.jupiter.api.Test;

/** Tests that tests do not disturb each other. */
final class GatewayHarnessTest {
    /** Several times the interval at which a running instance reads the store. */
    private static final int LISTEN_MILLIS = 3_000;

    @Test
    void testAClosedInstanceDoesNotSendRequestsToPortsThatLaterTestsUse() throws Exception {
        GatewayHarness gateway = new GatewayHarness();
        int storePort = EndpointAddress.parse(gateway.store().address()).port();

        gateway.close();

        try (ServerSocket listener = new ServerSocket()) {
            GatewayHarness.await(() -> isBound(listener, storePort));
            listener.setSoTimeout(LISTEN_MILLIS);
            assertThrows(SocketTimeoutException.class, listener::accept);
        }
    }

    /** Binds {@code listener}, unless the port is still in use. */
    private static boolean isBound(ServerSocket listener, int port) {
        try {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
