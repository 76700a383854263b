package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests how an entry instance handles caller disconnects, revoked keys and outdated configurations. */
final class CallersTest extends GatewayFixture {
    /** Caller disconnects, revoked keys and outdated configurations. */
    @Nested
    final class Callers {
        @Test
        void testTheEndpointConnectionIsClosedWhenTheCallerDisconnects() throws Exception {
            serveWithOneEndpoint();
            script.add((request, socket) -> true);
            try (Socket socket = gateway.connect()) {
                socket.getOutputStream().write(unsafe("r-1").getBytes(StandardCharsets.UTF_8));
                takeRequest(endpointOne);
            }

            assertNotNull(endpointOne.closes().poll(GatewayHarness.TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        }

        @Test
        void testARevokedKeyIsRefused() throws Exception {
            serveWithOneEndpoint();
            script.add(ScriptedEndpoint.ok("x"));
            assertTrue(gateway.exchange(safe("r-1")).startsWith("HTTP/1.1 200"));
            gateway.configure(2, "key-2");

            assertTrue(gateway.exchange(safe("r-2")).startsWith("HTTP/1.1 401"));
        }

        @Test
        void testRecordsThatAreNoValidConfigurationAreIgnored() throws Exception {
            serveWithOneEndpoint();
            gateway.configure(5, "key-2");
            gateway.store().put("keyed.op", "config", "{}");
            gateway.store().put("keyed.op", "other", "x");
            gateway.configure(6, KEY);

            script.add(ScriptedEndpoint.ok("x"));
            assertTrue(gateway.exchange(safe("r-2")).startsWith("HTTP/1.1 200"));
        }

        @Test
        void testKeysAreRefusedWhenTheConfigurationIsOlderThanTheRevocationBound() throws Exception {
            serveWithOneEndpoint();
            gateway.store().setDown(true);
            // While a machine is suspended only the wall clock advances.
            gateway.clock().shiftWallMillis(6_000);

            assertTrue(gateway.exchange(safe("r-1")).startsWith("HTTP/1.1 503"));
            assertNull(endpointOne.requests().poll());

            gateway.store().setDown(false);
            GatewayHarness.await(() -> gateway.entry().ageMillis() < 3_000);
            script.add(ScriptedEndpoint.ok("x"));
            assertTrue(gateway.exchange(safe("r-2")).startsWith("HTTP/1.1 200"));
        }
    }
}
