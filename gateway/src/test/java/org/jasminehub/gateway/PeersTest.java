package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.serving.RouteTable;
import org.jasminehub.runtime.time.SystemClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests two entry instances that share a store and exchange status messages. */
final class PeersTest {
    private static final String CONFIGURATION = """
            {"version":%d,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","kind":"safe","timeout_ms":1000,
            "target_latency_ms":500,"priority":1,"service":"s","attempts":1,"public":true}],
            "services":[{"name":"s","health_path":"/","connection_limit":4}]}
            """;

    private final List<EntryProgram> entries = new ArrayList<>();
    private EventLoop storeLoop;
    private InMemoryStore store;

    @BeforeEach
    void start() throws IOException {
        storeLoop = new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("store", true), NioIoHandler.newFactory())
                .next();
        store = new InMemoryStore(storeLoop);
        store.put("keyed.op", "config", CONFIGURATION.formatted(1));
        startEntry("entry-1");
        startEntry("entry-2");
    }

    private void startEntry(String name) throws IOException {
        String anyPort = "127.0.0.1:0";
        String peers = "127.0.0.1:" + freePort();
        EntryProgram entry = new EntryProgram(
                new GatewaySettings(
                        name,
                        "a",
                        anyPort,
                        anyPort,
                        anyPort,
                        peers,
                        0,
                        1,
                        List.of(),
                        store.address(),
                        5_000,
                        2_000,
                        0.45,
                        5,
                        1,
                        1,
                        0.2,
                        60,
                        10,
                        CapacitySettings.OFF,
                        GatewayHarness.CLIENTS),
                new SystemClock(),
                event -> {},
                new MetricRegistry());
        entry.start();
        entries.add(entry);
    }

    /** Peers connect to the registered port, so it must be known before the start. */
    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    @AfterEach
    void stop() {
        entries.forEach(EntryProgram::stop);
        entries.forEach(entry -> entry.client().loop().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS));
        store.close();
        storeLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void await(int entry, List<String> accepting) {
        GatewayHarness.await(() -> entries.get(entry).acceptingNames().equals(accepting));
    }

    @Test
    void testEachInstanceListsBothForCallers() {
        await(0, List.of("entry-1", "entry-2"));
        await(1, List.of("entry-1", "entry-2"));
    }

    @Test
    void testAStoppedInstanceIsNoLongerListed() {
        await(1, List.of("entry-1", "entry-2"));
        entries.get(0).stop();

        await(1, List.of("entry-2"));
    }

    @Test
    void testARegisteredInstanceThatSendsNoStatusIsNotListed() {
        store.put("keyed.jasminehub-instances", "entry-9", "\n\u0007entry-9\u0012\t127.0.0.9\u0018\u0001\u0020\u0001");

        await(0, List.of("entry-1", "entry-2"));
        assertEquals(List.of("entry-1", "entry-2"), entries.get(0).acceptingNames());
    }

    private long version(int entry) {
        return entries.get(entry).inForce().map(RouteTable::version).orElse(0L);
    }

    private static String registration(String state, long sequence) {
        return "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"slots\":4,\"state\":\"" + state
                + "\",\"born\":1,\"sequence\":" + sequence + "}";
    }

    /** An instance that starts while the store shows a copy from before its latest writes. */
    @Nested
    final class StartAfterRestore {
        @Test
        void testServesOnlyWithTheConfigurationThatPeersKnow() throws IOException {
            await(0, List.of("entry-1", "entry-2"));
            InMemoryStore.Copy copy = store.copy();
            store.put("keyed.op", "config", CONFIGURATION.formatted(7));
            GatewayHarness.await(() -> version(0) == 7 && version(1) == 7);

            store.restore(copy);
            startEntry("entry-3");
            GatewayHarness.await(() -> version(2) != 0);

            assertEquals(7, version(2));
        }

        @Test
        void testDoesNotUseAnEndpointThatPeersKnowToHaveLeft() throws IOException {
            await(0, List.of("entry-1", "entry-2"));
            store.put("keyed.servers", "e-1", registration("ready", 1));
            store.put("keyed.servers", "e-2", registration("ready", 1));
            GatewayHarness.await(() ->
                    entries.get(0).knowsEndpoint("e-2", false) && entries.get(1).knowsEndpoint("e-2", false));
            InMemoryStore.Copy copy = store.copy();
            store.put("keyed.servers", "e-2", "");
            GatewayHarness.await(() -> !entries.get(0).knowsEndpoint("e-2", false)
                    && !entries.get(1).knowsEndpoint("e-2", false));

            store.restore(copy);
            startEntry("entry-3");
            GatewayHarness.await(() -> version(2) != 0 && entries.get(2).knowsEndpoint("e-1", false));

            GatewayHarness.await(() -> !entries.get(2).knowsEndpoint("e-2", false));
        }
    }

    @Test
    void testPeersKeepTheConfigurationAgeLow() {
        await(0, List.of("entry-1", "entry-2"));
        GatewayHarness.await(() -> entries.get(0).ageMillis() < 300);
    }
}
