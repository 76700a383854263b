package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.jasminehub.core.balance.ConfigurationReadPolicy;
import org.jasminehub.platform.hosted.StoreCallKind;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jasminehub.runtime.time.SystemClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Counts the calls to the store of a fleet of the size of the small form of deployment T, by log, kind of call and role.
 * Guards against a part that reads the store more often than its design states.
 */
final class StoreCallsTest {
    private static final int ENTRIES = 12;
    private static final int AGENTS = 18;
    /** Long enough for every instance to answer a registration with a read of its own. */
    private static final long REGISTRATION_SPACING_MILLIS = 25;

    private static final String CONFIGURATION_READS = "keyed.op read";
    private static final String ENDPOINT_READS = "keyed.servers read";
    private static final String INSTANCE_READS = "keyed.jasminehub-instances read";
    private static final String INSTANCE_APPENDS = "keyed.jasminehub-instances append ";

    private static final String CONFIGURATION = """
            {"version":1,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","kind":"safe","timeout_ms":1000,
            "target_latency_ms":500,"priority":1,"service":"s","attempts":1,"public":true}],
            "services":[{"name":"s","health_path":"/","connection_limit":4}]}
            """;

    private final List<EntryProgram> entries = new ArrayList<>();
    private final List<MetricRegistry> metrics = new ArrayList<>();
    private final List<RankAgentProgram> agents = new ArrayList<>();
    private EventLoop storeLoop;
    private InMemoryStore store;

    @BeforeEach
    void start() throws IOException {
        storeLoop = new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("store", true), NioIoHandler.newFactory())
                .next();
        store = new InMemoryStore(storeLoop);
        store.put("keyed.op", "config", CONFIGURATION);
        for (int i = 0; i < ENTRIES; i++) {
            startEntry("entry-%02d".formatted(i), "127.0.1." + (i + 1), "abc".substring(i % 3, i % 3 + 1));
        }
        for (int i = 0; i < AGENTS; i++) {
            String host = "127.0.2." + (i + 1);
            RankAgentProgram agent = new RankAgentProgram(
                    new RankAgentSettings(
                            "agent-%02d".formatted(i), "a", host, freePort(host), "127.0.0.1:1", store.address()),
                    new SystemClock(),
                    event -> {});
            agent.start();
            agents.add(agent);
        }
        List<String> names =
                IntStream.range(0, ENTRIES).mapToObj("entry-%02d"::formatted).toList();
        GatewayHarness.await(
                () -> entries.stream().allMatch(entry -> entry.acceptingNames().equals(names)));
    }

    private void startEntry(String name, String host, String failureDomain) throws IOException {
        String anyPort = host + ":0";
        MetricRegistry registry = new MetricRegistry();
        EntryProgram entry = new EntryProgram(
                new GatewaySettings(
                        name,
                        failureDomain,
                        anyPort,
                        anyPort,
                        anyPort,
                        host + ":" + freePort(host),
                        0,
                        1,
                        List.of(),
                        store.address(),
                        5_000,
                        3_000,
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
                registry);
        entry.start();
        entries.add(entry);
        metrics.add(registry);
    }

    /**
     * Peers connect to the registered port, so it must be known before the start. Each process has an address of its
     * own, so that no outgoing connection takes the port in the meantime.
     */
    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    @AfterEach
    void stop() {
        agents.forEach(RankAgentProgram::stop);
        agents.forEach(agent -> agent.loop().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS));
        entries.parallelStream().forEach(EntryProgram::stop);
        entries.forEach(entry -> entry.client().loop().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS));
        store.close();
        storeLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** Returns the calls since {@code before}, with appends summed by role. */
    private Map<String, Integer> callsSince(Map<String, Integer> before) {
        Map<String, Integer> calls = new TreeMap<>();
        store.calls().forEach((name, count) -> {
            int added = count - before.getOrDefault(name, 0);
            calls.merge(
                    name.startsWith(INSTANCE_APPENDS) ? name.replaceAll("-[0-9]+$", "") : name, added, Integer::sum);
        });
        return calls;
    }

    private int calls(String name) {
        return store.calls().getOrDefault(name, 0);
    }

    private long counted(StoreTopic topic, StoreCallKind kind) {
        return metrics.stream()
                .mapToLong(
                        each -> each.counter(StoreCallMetrics.name(topic, kind)).getCount())
                .sum();
    }

    /** Waits for the time in which every entry instance polls the registrations of endpoints {@code polls} times. */
    private void awaitPolls(int polls) {
        int until = calls(ENDPOINT_READS) + polls * ENTRIES;
        GatewayHarness.await(() -> calls(ENDPOINT_READS) >= until);
    }

    /** Lets as many agents register as the fleet has processes, one after the other, as after a mass start. */
    private int registerMany() {
        int registrations = ENTRIES + AGENTS;
        for (int i = 0; i < registrations; i++) {
            String name = "x%06d".formatted(i);
            String value = "\n\u0007" + name + "\u0012\t127.0.0.9\u0038\u0001";
            storeLoop.schedule(
                    () -> store.put("keyed.jasminehub-instances", name, value),
                    REGISTRATION_SPACING_MILLIS * i,
                    TimeUnit.MILLISECONDS);
        }
        String last = "x%06d".formatted(registrations - 1);
        GatewayHarness.await(() -> store.count("keyed.jasminehub-instances", last) == 1);
        return registrations;
    }

    @Test
    void testCallsByLogKindAndRole() {
        System.out.println("start: " + callsSince(Map.of()));
        // Until peers have confirmed their ages to each other, all read as a small fleet does.
        awaitPolls(4);
        Map<String, Integer> atStart = store.calls();
        awaitPolls(10);
        Map<String, Integer> steady = callsSince(atStart);
        System.out.println("10 polls: " + steady);
        int before = calls(INSTANCE_READS);
        int registrations = registerMany();
        awaitPolls(1);
        int reads = calls(INSTANCE_READS) - before;
        System.out.println(registrations + " registrations: instance reads " + reads);

        assertEquals(0, steady.getOrDefault(INSTANCE_APPENDS + "agent", 0), "agents write only when they start");
        assertTrue(steady.get(CONFIGURATION_READS) <= 0.45 * steady.get(ENDPOINT_READS), steady::toString);
        assertTrue(steady.get(INSTANCE_READS) <= 3 * ENTRIES, steady::toString);
        // One read for each registration would be 30 for each instance.
        assertTrue(reads <= registrations * ENTRIES / 2, reads + " reads");
    }

    /** Guards against instances that rely on readers of the configuration which no longer exist. */
    @Test
    void testTheFleetGoesOnWithoutItsReaders() {
        awaitPolls(4);
        List<String> names =
                IntStream.range(0, ENTRIES).mapToObj("entry-%02d"::formatted).toList();
        List<String> readers = ConfigurationReadPolicy.readers(names);
        readers.forEach(name -> entries.get(names.indexOf(name)).stop());
        List<EntryProgram> others = names.stream()
                .filter(name -> !readers.contains(name))
                .map(name -> entries.get(names.indexOf(name)))
                .toList();
        AtomicLong oldestMillis = new AtomicLong();
        int until = calls(ENDPOINT_READS) + 5 * ENTRIES;
        GatewayHarness.await(() -> {
            others.forEach(each -> oldestMillis.accumulateAndGet(each.ageMillis(), Math::max));
            return calls(ENDPOINT_READS) >= until;
        });
        store.put("keyed.op", "config", CONFIGURATION.replace("\"version\":1", "\"version\":2"));

        GatewayHarness.await(() ->
                others.stream().allMatch(each -> each.inForce().orElseThrow().version() == 2));
        System.out.println("readers stopped: oldest configuration " + oldestMillis + " ms");
        assertTrue(oldestMillis.get() < 4_500, oldestMillis + " ms");
    }

    @Test
    void testMetricsCountWhatTheStoreReceives() {
        awaitPolls(2);
        int received = calls(ENDPOINT_READS);
        long sent = counted(StoreTopic.ENDPOINTS, StoreCallKind.READ_LOG);
        int receivedLater = calls(ENDPOINT_READS);

        // A call may be on its way from every instance while the figures are taken.
        assertTrue(sent >= received && sent <= receivedLater + ENTRIES, sent + " sent, " + received + " received");
        assertTrue(counted(StoreTopic.ENDPOINTS, StoreCallKind.READ_NEWEST) >= ENTRIES);
        assertTrue(counted(StoreTopic.INSTANCES, StoreCallKind.APPEND) >= ENTRIES);
    }
}
