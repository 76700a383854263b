package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jasminehub.gateway.control.ControlEventKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that a planned stop under load answers every call that was accepted. */
final class PlannedStopTest {
    private static final String KEY = "key-1";
    private static final int RUNNING_CALLS = 10;
    private static final int WAITING_CALLS = 6;

    /** Longer than the test takes, because the stop must not be cut short by its bound. */
    private static final double GRACE_SECONDS = 60;

    @Test
    void testCallsThatRunOrWaitOrArriveDuringTheStopAreAnswered() throws Exception {
        GatewayHarness gateway = new GatewayHarness(GRACE_SECONDS);
        Queue<ScriptedEndpoint.Reply> script = new ConcurrentLinkedQueue<>();
        CountDownLatch mayAnswer = new CountDownLatch(1);
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint(script)) {
            for (int call = 0; call < RUNNING_CALLS + WAITING_CALLS + 1; call++) {
                script.add((request, socket) -> {
                    awaitUninterruptibly(mayAnswer);
                    return ScriptedEndpoint.ok("whole").answer(request, socket);
                });
            }
            gateway.configure(1, KEY);
            gateway.register("e-1", endpoint.port(), "ready");
            List<Socket> callers = new ArrayList<>();
            Socket open = gateway.connect();
            for (int call = 0; call < RUNNING_CALLS + WAITING_CALLS; call++) {
                callers.add(send(gateway.connect(), "r-" + call));
            }
            GatewayHarness.await(() -> endpoint.requests().size() >= RUNNING_CALLS);

            Thread stop = new Thread(gateway::close, "stop");
            stop.start();
            gateway.awaitEvent(ControlEventKind.PROCESS_STOPPING, "entry-1");
            callers.add(send(open, "r-late"));
            mayAnswer.countDown();

            int whole = 0;
            for (Socket caller : callers) {
                String answer = GatewayHarness.readAll(caller.getInputStream());
                assertTrue(answer.startsWith("HTTP/1.1 "), "cut off without an answer");
                whole += answer.endsWith("whole") ? 1 : 0;
            }
            assertEquals(callers.size(), whole);
            stop.join(TimeUnit.SECONDS.toMillis((long) GRACE_SECONDS));
        }
    }

    /** A stop that does not wait for everything that callers ask for. */
    @Nested
    final class AtTheEndOfTheGraceTime {
        /** Longer than callers use the address, so that they can still connect after that time. */
        private static final double ROLLING_GRACE_SECONDS = 4;

        private final BlockingQueue<Boolean> testEnds = new LinkedBlockingQueue<>();
        private final Queue<ScriptedEndpoint.Reply> script = new ConcurrentLinkedQueue<>();
        private final ScriptedEndpoint.Reply silent = (request, socket) -> awaitUninterruptibly(testEnds);

        @Test
        void testACallReceivedLongAfterTheSignalIsNotAcceptedAndGivenUp() throws Exception {
            GatewayHarness gateway = new GatewayHarness(ROLLING_GRACE_SECONDS);
            try (ScriptedEndpoint endpoint = serving(gateway)) {
                Socket idle = gateway.connect();
                Thread stop = stop(gateway);
                // Idle connections are closed once no caller should use this address any more.
                assertEquals("", GatewayHarness.readAll(idle.getInputStream()));

                String answer = "";
                while (answer.isEmpty() && endpoint.requests().isEmpty()) {
                    answer = gateway.exchange(GatewayHarness.request("POST", "/stream/x", "late", KEY, "{}"));
                }

                assertTrue(answer.startsWith("HTTP/1.1 503"), "cut off or failed: " + answer);
                assertTrue(answer.toLowerCase(Locale.ROOT).contains("retry-after: "), answer);
                assertEquals(0, endpoint.requests().size());
                stop.join();
            }
        }

        @Test
        void testCallsOpenWhenTheProcessEndsGetAResponse() throws Exception {
            GatewayHarness gateway = new GatewayHarness(1);
            try (ScriptedEndpoint endpoint = serving(gateway)) {
                Socket caller = send(gateway.connect(), "open");
                GatewayHarness.await(() -> endpoint.requests().size() == 1);

                Thread stop = stop(gateway);

                String answer = GatewayHarness.readAll(caller.getInputStream());
                assertTrue(answer.startsWith("HTTP/1.1 502"), "cut off without an answer: " + answer);
                stop.join();
            }
        }

        @Test
        void testARequestBehindAResponseThatDidNotAnnounceTheCloseIsAnswered() throws Exception {
            GatewayHarness gateway = new GatewayHarness(GRACE_SECONDS);
            try (ScriptedEndpoint endpoint = serving(gateway)) {
                BlockingQueue<Boolean> mayEnd = new LinkedBlockingQueue<>();
                script.clear();
                script.add((request, socket) -> {
                    ScriptedEndpoint.write(
                            socket,
                            "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                                    + "\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + "c\r\nid: 1\ndata\n\n\r\n");
                    awaitUninterruptibly(mayEnd);
                    ScriptedEndpoint.write(socket, "0\r\n\r\n");
                    return true;
                });
                script.add(ScriptedEndpoint.ok("second"));
                Socket caller = gateway.connect();
                ScriptedEndpoint.write(caller, GatewayHarness.request("POST", "/stream/x", "r-1", KEY, "{}"));
                GatewayHarness.await(() -> available(caller) > 0);
                ScriptedEndpoint.write(caller, GatewayHarness.request("GET", "/safe/x", "r-2", KEY, ""));

                Thread stop = stop(gateway);
                mayEnd.add(true);

                String answers = GatewayHarness.readAll(caller.getInputStream());
                assertTrue(answers.endsWith("second"), answers);
                stop.join();
            }
        }

        private ScriptedEndpoint serving(GatewayHarness gateway) throws IOException {
            ScriptedEndpoint endpoint = new ScriptedEndpoint(script);
            script.add(silent);
            gateway.configure(1, KEY);
            gateway.register("e-1", endpoint.port(), "ready");
            return endpoint;
        }

        private Thread stop(GatewayHarness gateway) {
            Thread stop = new Thread(gateway::close, "stop");
            stop.start();
            gateway.awaitEvent(ControlEventKind.PROCESS_STOPPING, "entry-1");
            return stop;
        }

        private int available(Socket socket) {
            try {
                return socket.getInputStream().available();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private boolean awaitUninterruptibly(BlockingQueue<Boolean> queue) {
            try {
                return queue.take();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
    }

    private static Socket send(Socket caller, String id) throws Exception {
        caller.getOutputStream()
                .write(GatewayHarness.request("GET", "/safe/x", id, KEY, "")
                        .replaceFirst("\r\n", "\r\nConnection: close\r\n")
                        .getBytes(StandardCharsets.UTF_8));
        return caller;
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
