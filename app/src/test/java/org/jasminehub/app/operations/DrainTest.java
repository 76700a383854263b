package org.jasminehub.app.operations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jasminehub.agent.Agent;
import org.jasminehub.app.ProcessRuntime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class DrainTest {
    private static final int TOKENS = 150;

    private ProcessRuntime runtime;
    private BookingSystem system;

    @BeforeEach
    void start() {
        runtime = new ProcessRuntime("test");
        system = new BookingSystem(runtime);
        system.startEngine("text-1");
        system.startEngine("text-2");
    }

    @AfterEach
    void stop() {
        system.close();
        runtime.close();
    }

    private static void assertComplete(CompletableFuture<HttpResponse<String>> stream) {
        String body = stream.join().body();
        long events = body.lines().filter(line -> line.startsWith("data: {")).count();
        assertEquals(TOKENS, events, body);
        assertTrue(body.endsWith("data: [DONE]\n\n"), body);
    }

    @Test
    void testDrainingEntryServesOldAddressesAndInterruptsNothing() {
        CompletableFuture<HttpResponse<String>> before = system.stream(1, TOKENS);
        String leaving = system.address(1);
        var stopped = system.entries.get(0).drain().toCompletableFuture();
        BookingSystem.await(() -> !system.addressesAt(1).contains(leaving));
        BookingSystem.await(() -> !system.addressesAt(2).contains(leaving));
        assertFalse(stopped.isDone());
        CompletableFuture<HttpResponse<String>> byOldAddress = system.stream(1, TOKENS);
        stopped.join();
        assertTrue(before.isDone() && byOldAddress.isDone());
        system.entries.get(0).close();
        assertComplete(before);
        assertComplete(byOldAddress);
    }

    @Test
    void testAgentsDrainInTurnWithoutInterruptingStreams() {
        List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
        for (String name : List.of("text-1", "text-2")) {
            Agent leaving = system.agents.get(name);
            BookingSystem.await(() -> {
                streams.add(system.stream(1 + streams.size() % 2, TOKENS));
                return leaving.runningCalls() > 0;
            });
            leaving.leave();
            streams.add(system.stream(2, TOKENS));
            BookingSystem.await(() -> leaving.runningCalls() == 0);
            leaving.close();
            system.startEngine(name);
        }
        streams.forEach(DrainTest::assertComplete);
    }
}
