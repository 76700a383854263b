package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Callers that leave, keys that are taken away and clocks that stand still, at a real entry instance. */
final class CallersTest extends GatewayFixture {
    /** Callers that leave, keys that are taken away, clocks that stand still. */
    @Nested
    final class Callers {
        @Test
        void testTheEndpointSeesItsConnectionCloseWhenTheCallerLeaves() throws Exception {
            serveOne();
            script.add((request, socket) -> true);
            try (Socket socket = gateway.connect()) {
                socket.getOutputStream().write(unsafe("r-1").getBytes(StandardCharsets.UTF_8));
                take(one);
            }

            assertNotNull(one.closes().poll(GatewayHarness.PATIENCE.toSeconds(), TimeUnit.SECONDS));
        }

        @Test
        void testAKeyThatWasTakenAwayIsUnknown() throws Exception {
            serveOne();
            script.add(ScriptedEndpoint.ok("x"));
            assertTrue(gateway.exchange(safe("r-1")).startsWith("HTTP/1.1 200"));
            gateway.configure(2, "key-2");

            assertTrue(gateway.exchange(safe("r-2")).startsWith("HTTP/1.1 401"));
        }

        @Test
        void testAnOlderConfigurationNeverComesBack() throws Exception {
            serveOne();
            gateway.configure(5, "key-2");
            gateway.store().put("keyed.op", "config", "{}");
            gateway.store().put("keyed.op", "other", "x");
            gateway.configure(6, KEY);

            script.add(ScriptedEndpoint.ok("x"));
            assertTrue(gateway.exchange(safe("r-2")).startsWith("HTTP/1.1 200"));
        }

        @Test
        void testNoKeyIsHonouredOnKnowledgeOlderThanTheRevocationBound() throws Exception {
            serveOne();
            gateway.store().setDown(true);
            // Only the wall clock sees the time in which a machine is suspended.
            gateway.clock().shiftWallMillis(6_000);

            assertTrue(gateway.exchange(safe("r-1")).startsWith("HTTP/1.1 503"));
            assertNull(one.requests().poll());

            gateway.store().setDown(false);
            GatewayHarness.await(() -> gateway.entry().ageMillis() < 3_000);
            script.add(ScriptedEndpoint.ok("x"));
            assertTrue(gateway.exchange(safe("r-2")).startsWith("HTTP/1.1 200"));
        }
    }
}
