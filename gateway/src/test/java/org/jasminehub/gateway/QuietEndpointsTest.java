package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jasminehub.gateway.control.ControlEventKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests endpoints that refuse a request with 503 and a Retry-After header, which asks this instance for quiet. */
final class QuietEndpointsTest extends GatewayFixture {
    /** Four slots, as registered by the harness, with three calls per slot of a plain endpoint. */
    private static final int PLACES = 12;

    private static final String NOT_RUN = "X-Not-Executed: 1\r\n";

    private static ScriptedEndpoint.Reply refusal(String retryAfter, String headers) {
        return (request, socket) -> {
            ScriptedEndpoint.write(
                    socket,
                    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                            + "\r\nRetry-After: " + retryAfter + "\r\n" + headers + "Content-Length: 0\r\n\r\n");
            return true;
        };
    }

    private static String closing(String request) {
        return request.replaceFirst("\r\n", "\r\nConnection: close\r\n");
    }

    private static double retryAfterSeconds(String answer) {
        String name = "retry-after: ";
        int start = answer.toLowerCase(Locale.ROOT).indexOf(name);
        assertTrue(start >= 0, answer);
        return Double.parseDouble(answer.substring(start + name.length(), answer.indexOf("\r\n", start)));
    }

    private void assertQuiet(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.contains("endpoints-quiet: "), answer);
    }

    private void assertRefusedUnsent(String id) throws IOException {
        int sent = requests();
        assertQuiet(gateway.exchange(safe(id)));
        assertEquals(sent, requests());
    }

    private void awaitAnswer(String id, String text) {
        GatewayHarness.await(() -> {
            try {
                return gateway.exchange(safe(id)).contains(text);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private static void awaitQuietly(CountDownLatch latch) throws IOException {
        try {
            latch.await(GatewayHarness.TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Sends {@code count} calls with effects, each on a connection of its own, and waits until they have arrived. */
    private List<Socket> openCalls(int count) throws IOException {
        List<Socket> open = new ArrayList<>();
        for (int call = 0; call < count; call++) {
            Socket socket = gateway.connect();
            open.add(socket);
            ScriptedEndpoint.write(socket, closing(unsafe("busy-" + call)));
        }
        GatewayHarness.await(() -> requests() == count);
        return open;
    }

    /** A single endpoint that asks for quiet. */
    @Nested
    final class OneEndpoint {
        @Test
        void testARefusedCallIsNotSentAgainAndItsCallerReturnsAfterThePeriod() throws Exception {
            serveWithOneEndpoint();
            script.add(refusal("30", NOT_RUN));

            String answer = gateway.exchange(safe("r-1"));

            assertQuiet(answer);
            double seconds = retryAfterSeconds(answer);
            assertTrue(seconds > 15 && seconds <= 31, answer);
            assertEquals(1, requests());
            assertRefusedUnsent("r-2");
        }

        @Test
        void testARefusalThatDoesNotStateNotRunCountsToo() throws Exception {
            serveWithOneEndpoint();
            script.add(refusal("30", ""));

            assertTrue(gateway.exchange(unsafe("r-1")).startsWith("HTTP/1.1 502"));

            assertRefusedUnsent("r-2");
        }

        @Test
        void testCallsAreServedAfterAPeriodWithAFraction() throws Exception {
            serveWithOneEndpoint();
            script.add(refusal("0.25", NOT_RUN));
            assertQuiet(gateway.exchange(safe("r-1")));
            script.add(ScriptedEndpoint.ok("served"));

            awaitAnswer("r-2", "served");
        }

        @Test
        void testAMalformedPeriodIsBounded() throws Exception {
            serveWithOneEndpoint();
            script.add(refusal("Fri, 04 Dec 2099 15:00:00 GMT", NOT_RUN));
            assertQuiet(gateway.exchange(safe("r-1")));
            assertEquals(1, gateway.countEvents(ControlEventKind.ENDPOINT_QUIET));
            script.add(ScriptedEndpoint.ok("served"));

            awaitAnswer("r-2", "served");
        }

        @Test
        void testAHugePeriodIsBounded() throws Exception {
            serveWithOneEndpoint();
            script.add(refusal("9".repeat(400), NOT_RUN));

            String answer = gateway.exchange(safe("r-1"));

            assertQuiet(answer);
            assertTrue(retryAfterSeconds(answer) <= 301, answer);
        }

        @Test
        void testSeveralRefusalsAreLoggedOnce() throws Exception {
            serveWithOneEndpoint();
            CountDownLatch allArrived = new CountDownLatch(1);
            for (int call = 0; call < 3; call++) {
                script.add((request, socket) -> {
                    awaitQuietly(allArrived);
                    return refusal("30", NOT_RUN).answer(request, socket);
                });
            }
            List<Socket> open = openCalls(3);
            allArrived.countDown();
            for (Socket socket : open) {
                assertQuiet(GatewayHarness.readAll(socket.getInputStream()));
                socket.close();
            }

            assertRefusedUnsent("r-1");
            assertEquals(1, gateway.countEvents(ControlEventKind.ENDPOINT_QUIET));
            assertEquals(1, gateway.gauge("endpoints.quiet"));
        }

        @Test
        void testClockStepsAndANewConfigurationDoNotEndThePeriod() throws Exception {
            serveWithOneEndpoint();
            script.add(refusal("200", NOT_RUN));
            assertQuiet(gateway.exchange(safe("r-1")));
            gateway.clock().shiftWallMillis(5_000);
            awaitAnswer("r-2", "endpoints-quiet");
            gateway.clock().shiftWallMillis(-10_000);
            awaitAnswer("r-3", "endpoints-quiet");
            gateway.configure(2, KEY);
            gateway.putRegistration("e-1", endpointOne.port(), "ready", 2);
            gateway.register("e-9", endpointTwo.port(), "draining");

            assertRefusedUnsent("r-4");
            assertEquals(1, requests());
        }

        @Test
        void testALaterRunUnderTheSameIdIsNotQuiet() throws Exception {
            serveWithOneEndpoint();
            script.add(refusal("200", NOT_RUN));
            assertQuiet(gateway.exchange(safe("r-1")));
            script.add(ScriptedEndpoint.ok("served"));
            gateway.store()
                    .put(
                            "keyed.servers",
                            "e-1",
                            "{\"service\":\"plain\",\"address\":\"127.0.0.1:" + endpointOne.port()
                                    + "\",\"zone\":\"a\",\"slots\":4,\"state\":\"ready\",\"born\":2,\"sequence\":1}");

            awaitAnswer("r-2", "served");
        }

        @Test
        void testAQueuedCallIsRefusedAndRunningCallsAreServed() throws Exception {
            serveWithOneEndpoint();
            CountDownLatch queued = new CountDownLatch(1);
            CountDownLatch refused = new CountDownLatch(1);
            script.add((request, socket) -> {
                awaitQuietly(queued);
                return refusal("30", NOT_RUN).answer(request, socket);
            });
            for (int call = 1; call < PLACES; call++) {
                script.add((request, socket) -> {
                    awaitQuietly(refused);
                    return ScriptedEndpoint.ok("done").answer(request, socket);
                });
            }
            List<Socket> open = openCalls(PLACES);
            try (Socket waiting = gateway.connect()) {
                ScriptedEndpoint.write(waiting, closing(safe("r-1")));
                GatewayHarness.await(() -> gateway.gauge("calls.open") == PLACES + 1);
                queued.countDown();

                assertQuiet(GatewayHarness.readAll(waiting.getInputStream()));
            }
            refused.countDown();
            int served = 0;
            for (Socket socket : open) {
                served += GatewayHarness.readAll(socket.getInputStream()).endsWith("done") ? 1 : 0;
                socket.close();
            }
            assertEquals(PLACES - 1, served);
            assertEquals(PLACES, requests());
        }
    }

    /** One endpoint of two that asks for quiet. */
    @Nested
    final class TwoEndpoints {
        @Test
        void testCallsGoToTheOtherEndpoint() throws Exception {
            serveWithOneEndpoint();
            script.add(refusal("100", NOT_RUN));
            assertQuiet(gateway.exchange(safe("r-0")));
            gateway.register("e-2", endpointTwo.port(), "ready");
            for (int call = 1; call <= 8; call++) {
                script.add(ScriptedEndpoint.ok("x"));
                assertTrue(gateway.exchange(safe("r-" + call)).startsWith("HTTP/1.1 200"));
            }

            assertEquals(1, endpointOne.requests().size());
            assertEquals(8, endpointTwo.requests().size());
        }

        @Test
        void testAQueuedCallIsSentWhenThePeriodEnds() throws Exception {
            serveWithBothEndpoints();
            AtomicLong refusedNanos = new AtomicLong();
            AtomicLong sentAgainNanos = new AtomicLong();
            for (int call = 0; call < 2 * PLACES - 1; call++) {
                script.add((request, socket) -> true);
            }
            List<Socket> open = openCalls(2 * PLACES - 1);
            script.add((request, socket) -> {
                refusedNanos.set(System.nanoTime());
                return refusal("0.5", NOT_RUN).answer(request, socket);
            });
            script.add((request, socket) -> {
                sentAgainNanos.set(System.nanoTime());
                return ScriptedEndpoint.ok("served").answer(request, socket);
            });

            String answer = gateway.exchange(safe("r-1"));

            assertTrue(answer.endsWith("served"), answer);
            assertTrue(sentAgainNanos.get() - refusedNanos.get() >= TimeUnit.MILLISECONDS.toNanos(500));
            open.forEach(ScriptedEndpoint::closeQuietly);
        }
    }
}
