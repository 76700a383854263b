package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.jasminehub.gateway.control.ControlEventKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests entries by another writer among those of the endpoints: the others hold and are followed. */
final class OddEntriesTest extends GatewayFixture {
    private static final String ENDPOINTS = "keyed.servers";
    private static final int DEEP = 20_000;

    private static String entry(String address, String slots, String born) {
        return "{\"service\":\"plain\",\"address\":\"" + address + "\",\"zone\":\"a\",\"slots\":" + slots
                + ",\"state\":\"ready\",\"born\":" + born + ",\"sequence\":1}";
    }

    private static final List<String> ODD_ENTRIES = List.of(
            "[".repeat(DEEP),
            "{\"unused\":" + "[".repeat(DEEP) + "]".repeat(DEEP) + "}",
            entry("127.0.0.1:70000", "4", "1"),
            entry("127.0.0.1:-1", "4", "1"),
            entry("127.0.0.1:99999999999", "4", "1"),
            entry("server.invalid:8080", "4", "1"),
            entry("127.0.0.1:9", "2147483647", "1"),
            entry("127.0.0.1:9", "4294967300", "1"),
            entry("127.0.0.1:9", "9".repeat(5_000), "1"),
            entry("127.0.0.1:9", "4", "1e400"),
            "{}",
            "\u0000\u0001");

    private void assertServes(String id) throws IOException {
        String answer = gateway.exchange(safe(id));
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
    }

    private void put(String key, String value) {
        gateway.store().put(ENDPOINTS, key, value);
    }

    private void putOdd(String key) {
        put(key, entry("127.0.0.1:70000", "4", "1"));
    }

    /** Odd entries under ids of their own. */
    @Nested
    final class AmongOthers {
        @Test
        void testTheOthersHoldAndAreFollowed() throws IOException {
            serveWithOneEndpoint();
            for (int index = 0; index < ODD_ENTRIES.size(); index++) {
                String key = "odd-" + index;
                put(key, ODD_ENTRIES.get(index));
                gateway.awaitEvent(ControlEventKind.RECORD_REJECTED, key);
                assertFalse(gateway.entry().knowsEndpoint(key, false));
                script.add(ScriptedEndpoint.ok("one"));
                assertServes("r-" + key);
            }

            gateway.register("e-2", endpointTwo.port(), "ready");
            gateway.register("e-1", endpointOne.port(), "draining");
            script.add(ScriptedEndpoint.ok("two"));
            assertServes("r-2");
            assertEquals(1, endpointTwo.requests().size());
        }

        /** The id is sent in a header, which it could end to begin another one. */
        @Test
        void testAnIdWithALineBreakIsNotUsed() throws IOException {
            gateway.configure(1, KEY);
            String id = "odd\r\nX-Tenant: other";
            put(id, entry("127.0.0.1:" + endpointOne.port(), "4", "1"));
            gateway.awaitEvent(ControlEventKind.RECORD_REJECTED, id);

            assertFalse(gateway.entry().knowsEndpoint(id, false));
        }

        @Test
        void testAnInstanceThatStartsLaterReadsTheOthers() throws IOException {
            serveWithOneEndpoint();
            for (int index = 0; index < ODD_ENTRIES.size(); index++) {
                put("odd-" + index, ODD_ENTRIES.get(index));
            }
            put("odd\r\nX-Tenant: other", entry("127.0.0.1:9", "4", "1"));
            gateway.register("e-2", endpointTwo.port(), "ready");

            try (GatewayHarness later = gateway.startPeer("entry-2")) {
                GatewayHarness.await(() -> later.entry().knowsEndpoint("e-1", false)
                        && later.entry().knowsEndpoint("e-2", false));
                for (int index = 0; index < ODD_ENTRIES.size(); index++) {
                    later.awaitEvent(ControlEventKind.RECORD_REJECTED, "odd-" + index);
                }
                assertFalse(later.entry().knowsEndpoint("odd\r\nX-Tenant: other", false));
            }
        }

        /** Of two endpoints at one address, the one that started last is used, so a start in the far future is odd. */
        @Test
        void testAnEndpointIsNotReplacedByAnOddStartAtItsAddress() throws IOException {
            serveWithOneEndpoint();
            script.add(ScriptedEndpoint.ok("one"));

            put("odd", entry("127.0.0.1:" + endpointOne.port(), "4", "9223372036854775807"));
            gateway.register("e-2", endpointTwo.port(), "draining");

            assertServes("r-1");
            assertTrue(endpointOne
                    .requests()
                    .element()
                    .header("x-expected-instance")
                    .equals("e-1"));
        }

        @Test
        void testAnEntryThatIsWrittenAgainAndAgainIsLoggedOnce() {
            serveWithOneEndpoint();
            for (int write = 0; write < 5; write++) {
                putOdd("odd");
            }
            gateway.register("e-2", endpointTwo.port(), "ready");

            assertEquals(1, gateway.countEvents(ControlEventKind.RECORD_REJECTED));
        }

        @Test
        void testAnEntryThatBecomesGoodIsUsed() throws IOException {
            serveWithOneEndpoint();
            putOdd("e-2");
            gateway.awaitEvent(ControlEventKind.RECORD_REJECTED, "e-2");

            gateway.register("e-2", endpointTwo.port(), "ready");
            gateway.register("e-1", endpointOne.port(), "draining");
            script.add(ScriptedEndpoint.ok("two"));
            assertServes("r-1");
        }
    }

    /** An odd entry under the id of an endpoint that is in use; it names no endpoint to use. */
    @Nested
    final class OverAGoodOne {
        @Test
        void testTheEndpointIsNoLongerUsedUntilItsEntryIsGoodAgain() throws IOException {
            serveWithBothEndpoints();

            putOdd("e-1");
            GatewayHarness.await(() -> !gateway.entry().knowsEndpoint("e-1", false));
            script.add(ScriptedEndpoint.ok("two"));
            assertServes("r-1");
            assertEquals(1, endpointTwo.requests().size());

            gateway.register("e-1", endpointOne.port(), "ready");
            gateway.register("e-2", endpointTwo.port(), "draining");
            script.add(ScriptedEndpoint.ok("one"));
            assertServes("r-2");
            assertEquals(1, endpointOne.requests().size());
        }

        @Test
        void testEarlierAndLaterInstancesAgree() throws IOException {
            serveWithBothEndpoints();
            putOdd("e-1");
            gateway.awaitEvent(ControlEventKind.RECORD_REJECTED, "e-1");
            GatewayHarness.await(() -> !gateway.entry().knowsEndpoint("e-1", false));

            try (GatewayHarness later = gateway.startPeer("entry-2")) {
                GatewayHarness.await(() -> later.entry().knowsEndpoint("e-2", false));
                assertFalse(later.entry().knowsEndpoint("e-1", false));
            }
        }
    }
}
