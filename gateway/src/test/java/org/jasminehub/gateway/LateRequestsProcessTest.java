package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that a stopping process accepts and passes on late in its grace time and cuts at its end
 * without an answer. Several processes stop at the same time, and callers use them until their connections are closed.
 */
final class LateRequestsProcessTest {
    private static final double GRACE_SECONDS = 4;
    private static final int PROCESSES = 3;
    private static final int CALLERS_PER_PROCESS = 8;
    private static final int MAX_REQUESTS = 20_000;
    private static final String PROMISE = "HTTP/1.1 503";

    @TempDir
    Path directory;

    private final EventLoop storeLoop = new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("store", true), NioIoHandler.newFactory())
            .next();
    private final InMemoryStore store = new InMemoryStore(storeLoop);
    private final List<GatewayProcess> processes = new ArrayList<>();
    private final Set<String> arrived = ConcurrentHashMap.newKeySet();

    /** The beginning of the response to each request whose connection has not ended before; empty if there is none. */
    private final Map<String, String> responses = new ConcurrentHashMap<>();

    @AfterEach
    void stop() {
        processes.forEach(GatewayProcess::kill);
        store.close();
        storeLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private ScriptedEndpoint startEndpoint(int answerMillis) throws IOException {
        ScriptedEndpoint.Reply reply = (request, socket) -> {
            arrived.add(request.header("x-attempt-id"));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(answerMillis));
            return ScriptedEndpoint.ok("whole").answer(request, socket);
        };
        return new ScriptedEndpoint(new ConcurrentLinkedQueue<>(Collections.nCopies(MAX_REQUESTS, reply)));
    }

    private void startProcesses(ScriptedEndpoint endpoint) throws IOException {
        GatewayHarness.putConfiguration(store, 1, SoakGateway.KEY);
        GatewayHarness.putRegistration(store, "a", "e-1", endpoint.port(), "ready", 1);
        for (int index = 1; index <= PROCESSES; index++) {
            processes.add(GatewayProcess.start(
                    "entry-" + index, GatewayProcess.nextHost(), GRACE_SECONDS, store.address(), directory));
        }
        processes.forEach(process -> assertTrue(process.awaitReady()));
    }

    /** Sends requests to {@code process} one after the other, on each connection until it ends. */
    private void call(GatewayProcess process, String name, int deadlineMillis) {
        int number = 0;
        while (!process.isEnded()) {
            try (Socket socket = process.connect()) {
                boolean isOpen = true;
                while (isOpen) {
                    String id = name + "-" + number++;
                    ScriptedEndpoint.write(
                            socket,
                            GatewayHarness.request("POST", "/unsafe/x", id, SoakGateway.KEY, "pay")
                                    .replace("Milliseconds: 15000", "Milliseconds: " + deadlineMillis));
                    SoakResponse response = SoakResponse.read(socket.getInputStream());
                    responses.put(id, response.isComplete() ? response.head() : "");
                    isOpen = response.isComplete();
                }
            } catch (IOException e) {
                // The process does not listen any more, or has closed the connection before the request was written.
            }
        }
    }

    private void stopDuringCalls(int deadlineMillis) throws InterruptedException {
        List<Thread> callers = new ArrayList<>();
        for (GatewayProcess process : processes) {
            for (int index = 0; index < CALLERS_PER_PROCESS; index++) {
                String name = process.name() + "-c" + index;
                Thread caller = new Thread(() -> call(process, name, deadlineMillis), name);
                caller.setDaemon(true);
                caller.start();
                callers.add(caller);
            }
        }
        GatewayHarness.await(() -> !arrived.isEmpty());
        processes.forEach(GatewayProcess::terminate);
        processes.forEach(GatewayProcess::awaitEnd);
        for (Thread caller : callers) {
            caller.join();
        }
    }

    private void assertNothingLost() {
        for (String id : arrived) {
            assertFalse(responses.getOrDefault(id, "").isEmpty(), id + " was passed on and has no answer");
        }
        processes.forEach(process -> assertFalse(process.isKilled(), process.describe()));
    }

    @ParameterizedTest
    @ValueSource(ints = {300, 1_200, 3_000, 3_600})
    void testRequestsWithMuchTimeAreAnsweredOrRefused(int answerMillis) throws Exception {
        try (ScriptedEndpoint endpoint = startEndpoint(answerMillis)) {
            startProcesses(endpoint);

            stopDuringCalls(15_000);

            assertNothingLost();
        }
    }

    @Test
    void testRequestsThatEndInTimeAreServedLateInTheGraceTime() throws Exception {
        try (ScriptedEndpoint endpoint = startEndpoint(100)) {
            startProcesses(endpoint);

            stopDuringCalls(600);

            assertNothingLost();
            assertEquals(
                    List.of(),
                    arrived.stream()
                            .filter(id -> responses.getOrDefault(id, "").startsWith(PROMISE))
                            .toList());
        }
    }
}
