package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.Collections;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jasminehub.gateway.control.ControlEventKind;
import org.junit.jupiter.api.Test;

/** Tests that a planned stop leaves no caller without a response. */
final class PlannedStopConnectionsTest {
    private static final String KEY = "key-1";

    /** Longer than callers use the address. */
    private static final double ROLLING_GRACE_SECONDS = 4;

    private static final double LONG_GRACE_SECONDS = 60;

    /** A caller's distance from the instance. */
    private static final long ROUND_TRIP_MILLIS = 100;

    /** Longer than callers use the address, from the start of the stop. */
    private static final long LIST_EXPIRED_MILLIS = 2_700;

    private static final long EVENT_GAP_MILLIS = 400;

    /** Less than callers wait for an event of a stream. */
    private static final long SILENCE_MILLIS = 1_600;

    /** At least as many as a call is sent again. */
    private static final int OTHER_SENDS = 8;

    private final Queue<ScriptedEndpoint.Reply> script = new ConcurrentLinkedQueue<>();
    private final BlockingQueue<Boolean> mayEnd = new LinkedBlockingQueue<>();

    @Test
    void testACallAfterTheEndOfTheStopIsNotSentToAnEndpoint() throws Exception {
        GatewayHarness gateway = new GatewayHarness(ROLLING_GRACE_SECONDS);
        script.add(ScriptedEndpoint.ok("late"));
        try (ScriptedEndpoint endpoint = serving(gateway)) {
            // No connection is open, so the stop ends before its bound and the process is about to exit.
            gateway.entry().stop();

            String answer;
            try {
                answer = gateway.exchange(GatewayHarness.request("GET", "/safe/x", "late", KEY, "")
                        .replace("X-Deadline-Milliseconds: 15000", "X-Deadline-Milliseconds: 300"));
            } catch (SocketException e) {
                // Refused, or closed before the request was read.
                answer = "";
            }

            assertEquals(0, endpoint.requests().size(), "sent although the process ends: " + answer);
            assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 503"), answer);
        }
    }

    @Test
    void testARequestReadBehindACallThatIsAnsweredDuringTheStopIsAnswered() throws Exception {
        GatewayHarness gateway = new GatewayHarness(LONG_GRACE_SECONDS);
        script.add((request, socket) ->
                take(mayEnd) && ScriptedEndpoint.ok("first").answer(request, socket));
        script.add(ScriptedEndpoint.ok("second"));
        try (ScriptedEndpoint endpoint = serving(gateway)) {
            Socket caller = gateway.connect();
            ScriptedEndpoint.write(caller, GatewayHarness.request("GET", "/safe/x", "r-1", KEY, ""));
            ScriptedEndpoint.write(caller, GatewayHarness.request("GET", "/safe/x", "r-2", KEY, ""));
            GatewayHarness.await(() -> endpoint.requests().size() == 1);

            Thread stop = stop(gateway);
            mayEnd.add(true);

            String answers = GatewayHarness.readAll(caller.getInputStream());
            assertTrue(answers.endsWith("second"), answers);
            stop.join();
        }
    }

    @Test
    void testARequestSentAfterAStreamThatDidNotAnnounceTheCloseIsAnsweredLateInTheStop() throws Exception {
        GatewayHarness gateway = new GatewayHarness(LONG_GRACE_SECONDS);
        script.add((request, socket) -> {
            beginStream(request, socket, 1);
            for (int id = 2; mayEnd.isEmpty(); id++) {
                pause(EVENT_GAP_MILLIS);
                String event = "id: " + id + "\ndata\n\n";
                ScriptedEndpoint.write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            }
            ScriptedEndpoint.write(socket, "0\r\n\r\n");
            return true;
        });
        script.add(ScriptedEndpoint.ok("second"));
        try (ScriptedEndpoint endpoint = serving(gateway)) {
            Socket caller = gateway.connect();
            ScriptedEndpoint.write(caller, streamRequest());
            GatewayHarness.await(() -> available(caller) > 0);
            Thread stop = stop(gateway);
            pause(LIST_EXPIRED_MILLIS);
            mayEnd.add(true);
            StringBuilder first = new StringBuilder();
            while (!first.toString().endsWith("0\r\n\r\n")) {
                int next = caller.getInputStream().read();
                assertTrue(next >= 0, "cut: " + first);
                first.append((char) next);
            }
            assertFalse(first.toString().toLowerCase(Locale.ROOT).contains("connection: close"));
            pause(ROUND_TRIP_MILLIS);

            String answer;
            try {
                ScriptedEndpoint.write(caller, GatewayHarness.request("GET", "/safe/x", "r-2", KEY, ""));
                answer = GatewayHarness.readAll(caller.getInputStream());
            } catch (SocketException e) {
                answer = e.toString();
            }
            assertTrue(answer.startsWith("HTTP/1.1 "), "no response: " + answer);
            stop.join();
        }
    }

    @Test
    void testASilentStreamWithoutAnotherEndpointIsNotCutDuringTheStop() throws Exception {
        GatewayHarness gateway = new GatewayHarness(LONG_GRACE_SECONDS);
        script.add((request, socket) -> {
            beginStream(request, socket, 1);
            pause(SILENCE_MILLIS);
            ScriptedEndpoint.write(socket, "c\r\nid: 2\ndata\n\n\r\n0\r\n\r\n");
            return true;
        });
        ScriptedEndpoint.Reply busy = (request, socket) -> {
            ScriptedEndpoint.write(socket, "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
        script.addAll(Collections.nCopies(OTHER_SENDS, busy));
        try (ScriptedEndpoint endpoint = serving(gateway)) {
            Socket caller = gateway.connect();
            ScriptedEndpoint.write(caller, streamRequest());
            GatewayHarness.await(() -> available(caller) > 0);

            Thread stop = stop(gateway);

            String answer = GatewayHarness.readAll(caller.getInputStream());
            assertTrue(answer.endsWith("0\r\n\r\n"), endpoint.requests().size() + " requests, cut: " + answer);
            stop.join();
        }
    }

    @Test
    void testALargeResponseWithAnnouncedCloseIsCompleteAlthoughTheCallerSendsMore() throws Exception {
        GatewayHarness gateway = new GatewayHarness(LONG_GRACE_SECONDS);
        String body = "x".repeat(2 << 20);
        script.add(
                (request, socket) -> take(mayEnd) && ScriptedEndpoint.ok(body).answer(request, socket));
        try (ScriptedEndpoint endpoint = serving(gateway)) {
            Socket caller = gateway.connect();
            ScriptedEndpoint.write(caller, GatewayHarness.request("GET", "/safe/x", "r-1", KEY, ""));
            GatewayHarness.await(() -> endpoint.requests().size() == 1);
            Thread stop = stop(gateway);
            mayEnd.add(true);
            GatewayHarness.await(() -> available(caller) > 0);

            // The next request crosses the response that announces the close.
            pause(ROUND_TRIP_MILLIS);
            ScriptedEndpoint.write(caller, GatewayHarness.request("GET", "/safe/x", "r-2", KEY, ""));
            pause(ROUND_TRIP_MILLIS);

            long received = 0;
            try {
                byte[] part = new byte[8_192];
                for (int count = caller.getInputStream().read(part); count >= 0; ) {
                    received += count;
                    count = caller.getInputStream().read(part);
                }
            } catch (SocketException e) {
                received = -received;
            }
            assertTrue(received > body.length(), "received " + received);
            stop.join();
        }
    }

    @Test
    void testAnOpenCallIsAnsweredBeforeTheStopReturnsIfTheGraceTimeIsNotAWholeNumberOfSeconds() throws Exception {
        GatewayHarness gateway = new GatewayHarness(1.9);
        script.add((request, socket) -> take(mayEnd));
        try (ScriptedEndpoint endpoint = serving(gateway)) {
            Socket caller = gateway.connect();
            ScriptedEndpoint.write(caller, GatewayHarness.request("GET", "/safe/x", "open", KEY, ""));
            GatewayHarness.await(() -> endpoint.requests().size() == 1);

            // The process ends when this returns.
            gateway.entry().stop();

            assertTrue(gateway.hasEvent(ControlEventKind.PROCESS_STOPPED, "entry-1"), "the stop was not complete");
            GatewayHarness.await(() -> available(caller) > 0);
        }
    }

    private ScriptedEndpoint serving(GatewayHarness gateway) throws IOException {
        ScriptedEndpoint endpoint = new ScriptedEndpoint(script);
        gateway.configure(1, KEY);
        gateway.register("e-1", endpoint.port(), "ready");
        return endpoint;
    }

    private static String streamRequest() {
        return GatewayHarness.request("POST", "/stream/x", "r-1", KEY, "{}");
    }

    private static void beginStream(ScriptedEndpoint.Request request, Socket socket, int id) throws IOException {
        ScriptedEndpoint.write(
                socket,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                        + "\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "c\r\nid: " + id + "\ndata\n\n\r\n");
    }

    private static Thread stop(GatewayHarness gateway) {
        Thread stop = new Thread(gateway::close, "stop");
        stop.start();
        gateway.awaitEvent(ControlEventKind.PROCESS_STOPPING, "entry-1");
        return stop;
    }

    private static void pause(long millis) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < endNanos) {
            LockSupport.parkNanos(endNanos - System.nanoTime());
        }
    }

    private static int available(Socket socket) {
        try {
            return socket.getInputStream().available();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean take(BlockingQueue<Boolean> queue) {
        try {
            return queue.take();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
