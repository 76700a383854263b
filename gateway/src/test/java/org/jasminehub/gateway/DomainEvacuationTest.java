package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jasminehub.gateway.control.ControlEventKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that endpoints of a failure domain get no requests while the operator asks for its evacuation. */
final class DomainEvacuationTest extends GatewayFixture {
    private static final int CALLS = 12;

    /** Four slots, as registered by the harness, with three calls per slot of a plain endpoint. */
    private static final int PLACES = 12;

    private void serveInTwoDomains() {
        gateway.configure(1, KEY);
        gateway.registerIn("a", "e-1", endpointOne.port());
        gateway.registerIn("b", "e-2", endpointTwo.port());
    }

    /** Waits until the instance has read all earlier records of the operator; {@code version} must be a new one. */
    private void awaitOperatorRecords(long version) {
        gateway.configure(version, KEY);
    }

    private void evacuate(String domain, long version) {
        gateway.putEvacuation(domain);
        awaitOperatorRecords(version);
    }

    private void serve(int calls, String prefix) throws IOException {
        for (int call = 1; call <= calls; call++) {
            script.add(ScriptedEndpoint.ok("x"));
            assertTrue(gateway.exchange(safe(prefix + call)).startsWith("HTTP/1.1 200"));
        }
    }

    private void assertRefused(String request) throws IOException {
        int sent = requests();
        assertRefusal(gateway.exchange(request));
        assertEquals(sent, requests());
    }

    private static void assertRefusal(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("retry-after: 1."), answer);
        assertTrue(answer.contains("domain-evacuated: "), answer);
    }

    private static ScriptedEndpoint.Reply after(CountDownLatch latch, ScriptedEndpoint.Reply reply) {
        return (request, socket) -> {
            try {
                latch.await(GatewayHarness.TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            return reply.answer(request, socket);
        };
    }

    private static ScriptedEndpoint.Reply streamThen(int firstEvent, ScriptedEndpoint.Reply rest) {
        return (request, socket) -> {
            ScriptedEndpoint.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                            + "\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n" + event(firstEvent));
            return rest.answer(request, socket);
        };
    }

    private static ScriptedEndpoint.Reply lastEvent(int id) {
        return (request, socket) -> {
            ScriptedEndpoint.write(socket, event(id) + "0\r\n\r\n");
            return true;
        };
    }

    private static String event(int id) {
        String text = "id: " + id + "\ndata: e" + id + "\n\n";
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** The choice of an endpoint for new calls. */
    @Nested
    final class Choice {
        /** Guards against requests that are still sent to an evacuated domain while another one has room. */
        @Test
        void testCallsGoToTheOtherDomainOnly() throws IOException {
            serveInTwoDomains();

            evacuate("a", 2);

            serve(CALLS, "r-");
            assertEquals(0, endpointOne.requests().size());
            assertEquals(CALLS, endpointTwo.requests().size());
            assertEquals(1, gateway.gauge("domains.evacuated"));
        }

        @Test
        void testCallsReturnWhenTheRequestIsRemoved() throws IOException {
            serveInTwoDomains();
            evacuate("a", 2);
            gateway.removeEvacuation("a");
            awaitOperatorRecords(3);
            evacuate("b", 4);

            serve(CALLS, "r-");

            assertEquals(CALLS, endpointOne.requests().size());
            assertTrue(gateway.hasEvent(ControlEventKind.EVACUATION_ENDED, "a"));
        }

        /** Guards against an instance that starts during an evacuation and does not know it. */
        @Test
        void testARequestThatIsOlderThanTheStartOfTheInstanceHolds() throws IOException {
            serveInTwoDomains();
            gateway.putEvacuation("a");
            try (GatewayHarness later = gateway.startPeer("entry-2")) {
                GatewayHarness.await(() -> later.entry().inForce().isPresent()
                        && later.entry().knowsEndpoint("e-1", false)
                        && later.entry().knowsEndpoint("e-2", false));
                for (int call = 1; call <= CALLS; call++) {
                    script.add(ScriptedEndpoint.ok("x"));
                    assertTrue(later.exchange(safe("r-" + call)).startsWith("HTTP/1.1 200"));
                }
            }

            assertEquals(0, endpointOne.requests().size());
        }

        @Test
        void testTheBodyOfTheRequestIsNotInterpreted() throws IOException {
            serveInTwoDomains();
            gateway.store().put("keyed.op", "evacuate/a", "{\"until\":");
            awaitOperatorRecords(2);

            serve(CALLS, "r-");

            assertEquals(0, endpointOne.requests().size());
        }

        @Test
        void testADomainThatNoEndpointNamesIsKeptWithOneLine() throws IOException {
            serveInTwoDomains();

            evacuate("c", 2);

            serve(1, "r-");
            assertEquals(1, gateway.gauge("domains.evacuated"));
            assertEquals(1, gateway.countEvents(ControlEventKind.EVACUATION_UNMATCHED));
            assertTrue(gateway.hasEvent(ControlEventKind.EVACUATION_UNMATCHED, "c"));
        }

        /** Guards against a malformed key that makes the records after it unreadable. */
        @Test
        void testMalformedKeysAreRejectedAndLaterRecordsApply() throws IOException {
            serveInTwoDomains();
            gateway.putEvacuation("");
            gateway.putEvacuation("  ");
            gateway.putEvacuation("a\n");
            evacuate("a", 2);

            serve(CALLS, "r-");

            assertEquals(0, endpointOne.requests().size());
            assertEquals(1, gateway.gauge("domains.evacuated"));
            assertEquals(3, gateway.countEvents(ControlEventKind.RECORD_REJECTED));
        }
    }

    /** Services whose endpoints are all in evacuated domains. */
    @Nested
    final class AllDomains {
        @Test
        void testCallsAreRefusedAtOnceUntilOneDomainReturns() throws IOException {
            serveInTwoDomains();
            gateway.putEvacuation("a");
            evacuate("b", 2);

            assertRefused(safe("r-1"));
            assertRefused(unsafe("r-2"));
            assertRefused(stream("r-3"));

            gateway.removeEvacuation("b");
            awaitOperatorRecords(3);
            serve(CALLS, "r-4-");
            assertEquals(0, endpointOne.requests().size());
        }

        /** Guards against a refusal that blames the evacuation although the only endpoint is leaving. */
        @Test
        void testALeavingEndpointInAnEvacuatedDomainIsReportedAsLeaving() throws IOException {
            gateway.configure(1, KEY);
            gateway.register("e-1", endpointOne.port(), "draining");
            evacuate("a", 2);

            assertTrue(gateway.exchange(safe("r-1")).contains("no-endpoint: all endpoints of plain are leaving"));
        }

        @Test
        void testAQueuedCallIsRefusedAndRunningCallsAreServed() throws IOException {
            serveWithOneEndpoint();
            CountDownLatch refused = new CountDownLatch(1);
            Socket[] running = new Socket[PLACES];
            for (int call = 0; call < PLACES; call++) {
                script.add(after(refused, ScriptedEndpoint.ok("done")));
                running[call] = open(safe("busy-" + call));
            }
            GatewayHarness.await(() -> requests() == PLACES);
            try (Socket waiting = open(safe("r-1"))) {
                GatewayHarness.await(() -> gateway.gauge("calls.open") == PLACES + 1);

                evacuate("a", 2);

                assertRefusal(GatewayHarness.readAll(waiting.getInputStream()));
            }
            refused.countDown();
            for (Socket socket : running) {
                assertTrue(GatewayHarness.readAll(socket.getInputStream()).endsWith("done"));
                socket.close();
            }
            assertEquals(PLACES, requests());
        }
    }

    /** Calls that were sent to the domain before its evacuation. */
    @Nested
    final class RunningCalls {
        @Test
        void testAKeptConnectionIsClosedAndCarriesNoNewRequest() throws Exception {
            serveWithOneEndpoint();
            serve(1, "r-");
            assertEquals(1, endpointOne.openConnections());

            evacuate("a", 2);

            assertTrue(endpointOne.closes().poll(GatewayHarness.TIMEOUT.toSeconds(), TimeUnit.SECONDS));
            assertRefused(safe("r-2"));
        }

        /** Guards against a connection that becomes free after the evacuation began and carries the next call. */
        @Test
        void testAConnectionThatBecomesFreeDuringTheEvacuationCarriesNoNewRequest() throws Exception {
            serveInTwoDomains();
            evacuate("b", 2);
            CountDownLatch evacuated = new CountDownLatch(1);
            script.add(after(evacuated, ScriptedEndpoint.ok("done")));
            try (Socket running = open(safe("r-1"))) {
                GatewayHarness.await(() -> requests() == 1);
                gateway.removeEvacuation("b");
                evacuate("a", 3);
                evacuated.countDown();
                assertTrue(GatewayHarness.readAll(running.getInputStream()).endsWith("done"));
            }

            serve(CALLS, "r-2-");

            assertEquals(1, endpointOne.requests().size());
        }

        @Test
        void testAStreamInTheDomainIsDeliveredWhole() throws IOException {
            serveWithOneEndpoint();
            CountDownLatch evacuated = new CountDownLatch(1);
            script.add(streamThen(1, after(evacuated, lastEvent(2))));
            try (Socket running = open(stream("r-1"))) {
                GatewayHarness.await(() -> requests() == 1);
                evacuate("a", 2);
                evacuated.countDown();

                String answer = GatewayHarness.readAll(running.getInputStream());
                assertTrue(answer.contains("data: e1") && answer.contains("data: e2"), answer);
                assertTrue(answer.endsWith("0\r\n\r\n"), answer);
            }
        }

        @Test
        void testAStreamThatBreaksOffIsNotResumedInTheDomain() throws IOException {
            serveWithOneEndpoint();
            CountDownLatch evacuated = new CountDownLatch(1);
            script.add(streamThen(1, after(evacuated, ScriptedEndpoint.reset())));
            script.add(streamThen(2, lastEvent(3)));
            try (Socket running = open(stream("r-1"))) {
                GatewayHarness.await(() -> requests() == 1);
                evacuate("a", 2);
                evacuated.countDown();

                assertFalse(GatewayHarness.readAll(running.getInputStream()).endsWith("0\r\n\r\n"));
            }
            assertEquals(1, requests());
        }

        @Test
        void testAStreamThatBreaksOffIsResumedInTheOtherDomain() throws IOException {
            serveInTwoDomains();
            evacuate("b", 2);
            CountDownLatch evacuated = new CountDownLatch(1);
            script.add(streamThen(1, after(evacuated, ScriptedEndpoint.reset())));
            script.add(streamThen(2, lastEvent(3)));
            try (Socket running = open(stream("r-1"))) {
                GatewayHarness.await(() -> requests() == 1);
                gateway.removeEvacuation("b");
                evacuate("a", 3);
                evacuated.countDown();

                String answer = GatewayHarness.readAll(running.getInputStream());
                assertTrue(answer.endsWith("0\r\n\r\n"), answer);
            }
            assertEquals(1, endpointOne.requests().size());
            assertEquals(1, endpointTwo.requests().size());
        }

        @Test
        void testACallThatWasNotRunIsNotRetriedInTheDomain() throws IOException {
            serveWithOneEndpoint();
            CountDownLatch evacuated = new CountDownLatch(1);
            script.add(after(evacuated, (request, socket) -> {
                ScriptedEndpoint.write(
                        socket,
                        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                                + "\r\nX-Response-Signature: s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return true;
            }));
            script.add(ScriptedEndpoint.ok("again"));
            try (Socket running = open(safe("r-1"))) {
                GatewayHarness.await(() -> requests() == 1);
                evacuate("a", 2);
                evacuated.countDown();

                assertTrue(GatewayHarness.readAll(running.getInputStream()).startsWith("HTTP/1.1 503"));
            }
            assertEquals(1, requests());
        }

        @Test
        void testTheLogStatesWhenTheLastRequestWasWritten() throws IOException {
            serveWithOneEndpoint();
            serve(1, "r-");

            evacuate("a", 2);

            assertTrue(gateway.hasEvent(ControlEventKind.EVACUATION_REQUESTED, "a"));
            assertTrue(gateway.hasEvent(ControlEventKind.EVACUATION_LAST_REQUEST, "a"));
        }
    }
}
