package org.jasminehub.app.operations;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.jasminehub.agent.Agent;
import org.jasminehub.agent.AgentSettings;
import org.jasminehub.app.ProcessRuntime;
import org.jasminehub.app.demo.DemoDocument;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.membership.Target;
import org.jasminehub.core.operation.AgentIncarnation;
import org.jasminehub.core.operation.HomeTable;
import org.jasminehub.core.operation.OperationId;
import org.jasminehub.entry.EntryInstance;
import org.jasminehub.entry.EntrySettings;
import org.jasminehub.runtime.log.EventLog;
import org.jasminehub.standin.BookingStandin;
import org.jasminehub.standin.EngineStandin;
import org.jasminehub.standin.InstanceListStandin;
import org.jasminehub.standin.LogStandin;

/** Two entry instances and two agents in front of one booking service, over real sockets; each can be stopped. */
final class BookingSystem implements AutoCloseable {
    private static final Target BOOKINGS = Target.service("bookings");
    private static final Target MODEL = Target.model("campaign-text");
    private static final String HOST = "127.0.0.1";
    private static final long POLL_NANOS = 5_000_000;

    final LogStandin log;
    final InstanceListStandin list;
    final BookingStandin bookings;
    final Map<String, Agent> agents = new TreeMap<>();
    final List<EntryInstance> entries = new ArrayList<>();
    private final List<EngineStandin> engines = new ArrayList<>();
    private final ProcessRuntime runtime;
    private final HttpClient client = HttpClient.newHttpClient();

    BookingSystem(ProcessRuntime runtime) {
        this.runtime = runtime;
        this.log = new LogStandin(runtime.system(), 0);
        this.list = new InstanceListStandin(runtime.system(), 0);
        this.bookings = new BookingStandin(runtime.system(), 0);
        log.append(DemoDocument.firstRecord(withoutTightLimits(DemoDocument.text())));
        startAgent("bookings-1");
        startAgent("bookings-2");
        startEntry("entry-1");
        startEntry("entry-2");
        awaitBookings();
    }

    /** Raises the limits, since the polling in {@link #awaitBookings} would otherwise use up the limits of the test. */
    private static String withoutTightLimits(String document) {
        return document.replaceAll("requestsPerSecond: \\d+", "requestsPerSecond: 100000")
                .replaceAll("tokensPerSecond: \\d+", "tokensPerSecond: 10000000")
                .replaceAll("concurrentRequests: \\d+", "concurrentRequests: 1000");
    }

    /** Waits until both homes accept bookings, polling with random keys that no test uses. */
    private void awaitBookings() {
        for (EntryInstance entry : entries) {
            await(() -> entry.homes().current("bookings").isPresent());
        }
        for (String agent : List.copyOf(agents.keySet())) {
            await(() -> post(1, keyWithHome(agent), "{\"warm-up\":true}").statusCode() == 201);
        }
    }

    void startAgent(String name) {
        AgentSettings settings = new AgentSettings(name, "sul-a", HOST, 0, 0, BOOKINGS, bookings.address(), 100);
        Agent agent = new Agent(
                settings, runtime.system(), runtime.group(), runtime.clock(), new EventLog(name), runtime.metrics());
        agents.put(name, agent);
        list.put(member(name, MemberRole.AGENT, agent.wirePort(), 0, List.of(BOOKINGS)));
    }

    /** Starts an agent with its own engine. */
    void startEngine(String name) {
        EngineStandin engine = new EngineStandin(runtime.system(), 0, 5, 8);
        engines.add(engine);
        AgentSettings settings = new AgentSettings(name, "sul-a", HOST, 0, 0, MODEL, engine.address(), 100);
        Agent agent = new Agent(
                settings, runtime.system(), runtime.group(), runtime.clock(), new EventLog(name), runtime.metrics());
        agents.put(name, agent);
        list.put(member(name, MemberRole.AGENT, agent.wirePort(), 0, List.of(MODEL)));
        await(() -> entries.stream()
                .allMatch(entry -> entry.directory().usable(MODEL).stream()
                        .anyMatch(link ->
                                link.id().value().equals(name) && link.member().wirePort() == agent.wirePort())));
    }

    /** Starts a stream of {@code tokens} events through entry instance 1 or 2. */
    CompletableFuture<HttpResponse<String>> stream(int entry, int tokens) {
        String chat = "{\"model\":\"campaign-text\",\"stream\":true,\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"caption\"}]}";
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address(entry) + "/v1/chat/completions"))
                .header("X-Workspace", "cooperative")
                .POST(HttpRequest.BodyPublishers.ofString(chat))
                .build();
        return client.sendAsync(request, BodyHandlers.ofString());
    }

    String address(int entry) {
        return HOST + ":" + entries.get(entry - 1).callerPort();
    }

    /** Returns the address list that entry instance 1 or 2 serves. */
    String addressesAt(int entry) {
        URI uri = URI.create("http://" + address(entry) + "/v1/addresses?workspace=cooperative");
        return client.sendAsync(HttpRequest.newBuilder(uri).build(), BodyHandlers.ofString())
                .join()
                .body();
    }

    private void startEntry(String name) {
        EntrySettings settings =
                new EntrySettings(name, "sul-a", HOST, 0, 0, 0, log.address(), list.address(), 100, 500, 1_048_576);
        EntryInstance entry = new EntryInstance(
                settings,
                runtime.system(),
                runtime.group(),
                () -> new RequestId(UUID.randomUUID().toString()),
                runtime.clock(),
                new EventLog(name),
                runtime.metrics());
        entries.add(entry);
        list.put(member(name, MemberRole.ENTRY, entry.wirePort(), entry.callerPort(), List.of()));
    }

    private static Member member(String name, MemberRole role, int wirePort, int callerPort, List<Target> serves) {
        InstanceId id = new InstanceId(name);
        FailureDomain domain = new FailureDomain("sul-a");
        return new Member(id, role, MemberState.LIVE, domain, HOST, wirePort, callerPort, serves);
    }

    /** Returns a new key whose home is {@code agent} according to the home table of the second entry instance. */
    String keyWithHome(String agent) {
        HomeTable table = entries.get(1).homes().current("bookings").orElseThrow();
        while (true) {
            String key = UUID.randomUUID().toString();
            if (homeOf(table, key).equals(agent)) {
                return key;
            }
        }
    }

    private static String homeOf(HomeTable table, String key) {
        OperationId id = new OperationId(new WorkspaceId("cooperative"), "bookings", key);
        return table.home(id).map(AgentIncarnation::agent).orElseThrow().value();
    }

    /** Waits until the second entry instance has a home table newer than {@code epoch} with {@code count} agents. */
    void awaitHomeTable(long epoch, int count) {
        await(() -> entries.get(1)
                .homes()
                .current("bookings")
                .filter(table -> table.epoch() > epoch && table.members().size() == count)
                .isPresent());
    }

    long epoch() {
        return entries.get(1).homes().current("bookings").orElseThrow().epoch();
    }

    HttpResponse<String> post(int entry, String key, String body) {
        return postAsync(entry, key, body).join();
    }

    /** Books through entry instance 1 or 2; the future fails if the response is interrupted. */
    CompletableFuture<HttpResponse<String>> postAsync(int entry, String key, String body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(
                        "http://" + HOST + ":" + entries.get(entry - 1).callerPort() + "/services/bookings/trips"))
                .headers("X-Workspace", "cooperative", "Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.sendAsync(request, BodyHandlers.ofString());
    }

    /** Requests a key through entry instance 1 or 2 and returns it; an agent issues the key. */
    String issueKey(int entry) {
        URI uri = URI.create(
                "http://" + HOST + ":" + entries.get(entry - 1).callerPort() + "/v1/operation-keys?service=bookings");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        String body = client.sendAsync(request, BodyHandlers.ofString()).join().body();
        return body.split("\"")[3];
    }

    long runCount(String body) {
        return bookings.bookings().stream().filter(body::equals).count();
    }

    static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            if (Thread.currentThread().isInterrupted()) {
                throw new AssertionError("interrupted while waiting for a condition");
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    @Override
    public void close() {
        entries.forEach(EntryInstance::close);
        agents.values().forEach(Agent::close);
        engines.forEach(EngineStandin::close);
        bookings.close();
        list.close();
        log.close();
    }
}
