package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jasminehub.gateway.control.ControlEventKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests endpoints that announce in a response that they are leaving while their registration says that they serve. */
final class AnnouncedLeavingTest extends GatewayFixture {
    private static final String LEAVING = "Server-Leaving: 1\r\n";

    /** Four slots, as registered by the harness, with three calls per slot of a plain endpoint. */
    private static final int PLACES = 12;

    private static ScriptedEndpoint.Reply reply(String status, String headers, String body) {
        return (request, socket) -> {
            ScriptedEndpoint.write(socket, response(request, status, headers, body));
            return true;
        };
    }

    private static String response(ScriptedEndpoint.Request request, String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                + "\r\nX-Response-Signature: s\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a reply that begins a stream with one event, and goes on with {@code rest}. */
    private static ScriptedEndpoint.Reply stream(ScriptedEndpoint.Reply rest) {
        return (request, socket) -> {
            ScriptedEndpoint.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                            + "\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\n" + LEAVING
                            + "Transfer-Encoding: chunked\r\n\r\n" + event(1));
            return rest.answer(request, socket);
        };
    }

    private static String event(int id) {
        String text = "id: " + id + "\ndata: e" + id + "\n\n";
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private void assertRefusedUnsent(String id) throws IOException {
        int sent = requests();
        String answer = gateway.exchange(safe(id));
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("retry-after: "), answer);
        assertTrue(answer.contains("no-endpoint: all endpoints of plain are leaving"), answer);
        assertEquals(sent, requests());
    }

    /** The responses in which the announcement arrives. */
    @Nested
    final class Responses {
        @Test
        void testABufferedSuccess() throws Exception {
            serveWithOneEndpoint();
            script.add(reply("200 OK", LEAVING, "last"));

            assertTrue(gateway.exchange(safe("r-1")).endsWith("last"));

            assertRefusedUnsent("r-2");
        }

        @Test
        void testAnError() throws Exception {
            serveWithOneEndpoint();
            script.add(reply("500 Internal Server Error", LEAVING, ""));

            assertTrue(gateway.exchange(unsafe("r-1")).startsWith("HTTP/1.1 500"));

            assertRefusedUnsent("r-2");
        }

        @Test
        void testARefusalIsNotRetriedAtTheSameEndpoint() throws Exception {
            serveWithOneEndpoint();
            script.add(reply("503 Service Unavailable", LEAVING + "X-Not-Executed: 1\r\n", ""));

            assertTrue(gateway.exchange(safe("r-1")).startsWith("HTTP/1.1 503"));

            assertEquals(1, requests());
            assertRefusedUnsent("r-2");
        }

        @Test
        void testTheHeadOfAStreamThatGoesOn() throws Exception {
            serveWithOneEndpoint();
            CountDownLatch refused = new CountDownLatch(1);
            script.add(stream((request, socket) -> {
                awaitQuietly(refused);
                ScriptedEndpoint.write(socket, event(2) + "0\r\n\r\n");
                return true;
            }));
            try (Socket socket = gateway.connect()) {
                String request = GatewayFixture.stream("r-1").replaceFirst("\r\n", "\r\nConnection: close\r\n");
                socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                gateway.awaitEvent(ControlEventKind.ENDPOINT_LEAVING, "e-1");

                assertRefusedUnsent("r-2");

                refused.countDown();
                String answer = GatewayHarness.readAll(socket.getInputStream());
                assertTrue(answer.contains("data: e2") && answer.endsWith("0\r\n\r\n"), answer);
            }
        }

        @Test
        void testAStreamThatBreaksOffIsNotResumedAtTheSameEndpoint() throws Exception {
            serveWithOneEndpoint();
            script.add(stream(ScriptedEndpoint.reset()));
            script.add(stream(ScriptedEndpoint.reset()));

            String answer = gateway.exchange(stream("r-1"));

            assertFalse(answer.endsWith("0\r\n\r\n"), answer);
            assertEquals(1, requests());
        }

        @Test
        void testAResponseToAnotherRequest() throws Exception {
            serveWithOneEndpoint();
            script.add((request, socket) -> {
                ScriptedEndpoint.write(
                        socket,
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Signature: s\r\n" + LEAVING
                                + "Content-Length: 0\r\n\r\n");
                return true;
            });

            assertTrue(gateway.exchange(unsafe("r-1")).startsWith("HTTP/1.1 502"));

            assertRefusedUnsent("r-2");
        }

        @Test
        void testASecondResponseToTheSameRequest() throws Exception {
            serveWithOneEndpoint();
            script.add((request, socket) -> {
                ScriptedEndpoint.write(
                        socket, response(request, "200 OK", "", "good") + response(request, "200 OK", LEAVING, "good"));
                return true;
            });

            assertTrue(gateway.exchange(safe("r-1")).endsWith("good"));
            gateway.awaitEvent(ControlEventKind.ENDPOINT_LEAVING, "e-1");

            assertRefusedUnsent("r-2");
        }

        @Test
        void testAResponseThatArrivesWhileNoRequestIsOpen() throws Exception {
            serveWithOneEndpoint();
            CountDownLatch delivered = new CountDownLatch(1);
            script.add((request, socket) -> {
                ScriptedEndpoint.write(socket, response(request, "200 OK", "", "good"));
                awaitQuietly(delivered);
                ScriptedEndpoint.write(socket, response(request, "200 OK", LEAVING, "late"));
                return true;
            });

            assertTrue(gateway.exchange(safe("r-1")).endsWith("good"));
            delivered.countDown();
            gateway.awaitEvent(ControlEventKind.ENDPOINT_LEAVING, "e-1");

            assertRefusedUnsent("r-2");
        }
    }

    /** Calls that have no endpoint when the announcement arrives, and calls that are running. */
    @Nested
    final class OpenCalls {
        @Test
        void testAQueuedCallIsRefusedAndRunningCallsAreServed() throws Exception {
            serveWithOneEndpoint();
            CountDownLatch queued = new CountDownLatch(1);
            CountDownLatch refused = new CountDownLatch(1);
            for (int call = 0; call < PLACES; call++) {
                boolean isFirst = call == 0;
                script.add((request, socket) -> {
                    awaitQuietly(isFirst ? queued : refused);
                    return reply("200 OK", isFirst ? LEAVING : "", "done").answer(request, socket);
                });
            }
            Socket[] open = new Socket[PLACES];
            for (int call = 0; call < PLACES; call++) {
                open[call] = gateway.connect();
                ScriptedEndpoint.write(
                        open[call], safe("busy-" + call).replaceFirst("\r\n", "\r\nConnection: close\r\n"));
            }
            GatewayHarness.await(() -> requests() == PLACES);
            try (Socket waiting = gateway.connect()) {
                ScriptedEndpoint.write(waiting, safe("r-1").replaceFirst("\r\n", "\r\nConnection: close\r\n"));
                GatewayHarness.await(() -> gateway.gauge("calls.open") == PLACES + 1);

                queued.countDown();

                String answer = GatewayHarness.readAll(waiting.getInputStream());
                assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
                assertTrue(answer.contains("no-endpoint"), answer);
            }
            refused.countDown();
            for (Socket socket : open) {
                assertTrue(GatewayHarness.readAll(socket.getInputStream()).endsWith("done"));
                socket.close();
            }
            assertEquals(PLACES, requests());
        }

        @Test
        void testACallThatIsSlowAtALeavingEndpointIsNotGivenUpWithoutAnother() throws Exception {
            serveWithOneEndpoint();
            CountDownLatch marked = new CountDownLatch(1);
            script.add((request, socket) -> {
                awaitQuietly(marked);
                // Longer than the time-out of a first attempt, and well within the time-out of the route.
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1_000));
                return reply("200 OK", LEAVING, "slow but good").answer(request, socket);
            });
            script.add(reply("200 OK", LEAVING, "quick"));
            try (Socket slow = gateway.connect()) {
                ScriptedEndpoint.write(slow, hasty("r-1").replaceFirst("\r\n", "\r\nConnection: close\r\n"));
                GatewayHarness.await(() -> requests() == 1);
                assertTrue(gateway.exchange(safe("r-2")).endsWith("quick"));
                marked.countDown();

                assertTrue(GatewayHarness.readAll(slow.getInputStream()).endsWith("slow but good"));
            }
            assertEquals(2, requests());
        }

        @Test
        void testCallsGoToTheOtherEndpoint() throws Exception {
            serveWithOneEndpoint();
            script.add(reply("200 OK", LEAVING, "last"));
            assertTrue(gateway.exchange(safe("r-0")).endsWith("last"));
            gateway.register("e-2", endpointTwo.port(), "ready");
            for (int call = 1; call <= 8; call++) {
                script.add(ScriptedEndpoint.ok("x"));
                assertTrue(gateway.exchange(safe("r-" + call)).startsWith("HTTP/1.1 200"));
            }

            assertEquals(1, endpointOne.requests().size());
        }
    }

    /** What ends the mark of an endpoint, and what does not. */
    @Nested
    final class Identity {
        private void markFirstEndpoint() throws IOException {
            serveWithOneEndpoint();
            script.add(reply("200 OK", LEAVING, "last"));
            assertTrue(gateway.exchange(safe("r-1")).endsWith("last"));
        }

        private void put(String id, long started, long sequence) {
            gateway.store()
                    .put(
                            "keyed.servers",
                            id,
                            "{\"service\":\"plain\",\"address\":\"127.0.0.1:" + endpointOne.port()
                                    + "\",\"zone\":\"a\",\"slots\":4,\"state\":\"ready\",\"born\":" + started
                                    + ",\"sequence\":" + sequence + "}");
        }

        private void awaitServed(String id) {
            script.add(ScriptedEndpoint.ok("new"));
            GatewayHarness.await(() -> {
                try {
                    return gateway.exchange(safe(id)).endsWith("new");
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }

        @Test
        void testANewConfigurationAndANewRegistrationOfTheSameRunKeepTheMark() throws Exception {
            markFirstEndpoint();
            gateway.configure(2, KEY);
            put("e-1", 1, 2);
            gateway.register("e-9", endpointTwo.port(), "draining");

            assertRefusedUnsent("r-2");
        }

        @Test
        void testALaterRunUnderTheSameIdServes() throws Exception {
            markFirstEndpoint();
            put("e-1", 2, 1);

            awaitServed("r-2");
        }

        @Test
        void testAnotherEndpointAtTheSameAddressServes() throws Exception {
            markFirstEndpoint();
            put("e-2", 2, 1);

            awaitServed("r-2");
            assertEquals("e-2", lastRequest().header("x-expected-instance"));
        }

        @Test
        void testAMisdirectedResponseMarksNeitherTheExpectedEndpointNorAnUnknownOne() throws Exception {
            serveWithOneEndpoint();
            script.add(reply("421 Misdirected Request", LEAVING, ""));
            script.add(reply("421 Misdirected Request", LEAVING + "X-Instance-Id: e-9\r\n", ""));
            script.add(ScriptedEndpoint.ok("served"));

            assertTrue(gateway.exchange(safe("r-1")).endsWith("served"));
        }

        private ScriptedEndpoint.Request lastRequest() {
            ScriptedEndpoint.Request last = null;
            for (ScriptedEndpoint.Request request : endpointOne.requests()) {
                last = request;
            }
            return last;
        }
    }

    private static void awaitQuietly(CountDownLatch latch) throws IOException {
        try {
            latch.await(GatewayHarness.TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
