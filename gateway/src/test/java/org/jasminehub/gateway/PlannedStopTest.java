package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jasminehub.gateway.control.ControlEventKind;
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
