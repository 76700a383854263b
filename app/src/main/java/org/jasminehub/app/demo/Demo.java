package org.jasminehub.app.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;
import org.jasminehub.agent.Agent;
import org.jasminehub.agent.AgentSettings;
import org.jasminehub.app.ProcessRuntime;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.membership.Target;
import org.jasminehub.entry.EntryInstance;
import org.jasminehub.entry.EntrySettings;
import org.jasminehub.platform.http.Address;
import org.jasminehub.runtime.log.EventLog;
import org.jasminehub.standin.BookingStandin;
import org.jasminehub.standin.EngineStandin;
import org.jasminehub.standin.InstanceListStandin;
import org.jasminehub.standin.LogStandin;

/**
 * Three entry instances, four agents with their endpoints, and the stand-ins of the platform, connected by real sockets
 * on loopback.
 *
 * <p>Not thread-safe.
 */
public final class Demo implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int ENTRY_COUNT = 3;
    private static final int ENGINE_COUNT = 3;
    private static final int STEP_MILLIS = 20;
    private static final int ENGINE_CAPACITY = 16;
    private static final int LIST_INTERVAL_MILLIS = 200;
    private static final int LOAD_INTERVAL_MILLIS = 200;
    private static final int ADDRESS_TTL_MILLIS = 10_000;
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final long POLL_NANOS = 10_000_000;
    private static final Target MODEL = Target.model("campaign-text");
    private static final Target BOOKINGS = Target.service("bookings");

    private final ProcessRuntime runtime;
    private final LogStandin log;
    private final InstanceListStandin list;
    private final List<EngineStandin> engines = new ArrayList<>();
    private final BookingStandin bookings;
    private final List<Agent> agents = new ArrayList<>();
    private final List<EntryInstance> entries = new ArrayList<>();

    /** Starts all instances; {@code firstPort} is the caller port of the first entry instance, 0 for a free one. */
    public Demo(ProcessRuntime runtime, int firstPort) {
        this.runtime = runtime;
        this.log = new LogStandin(runtime.system(), 0);
        this.list = new InstanceListStandin(runtime.system(), 0);
        this.bookings = new BookingStandin(runtime.system(), 0);
        log.append(DemoDocument.firstRecord());
        for (int i = 0; i < ENGINE_COUNT; i++) {
            EngineStandin engine = new EngineStandin(runtime.system(), 0, STEP_MILLIS, ENGINE_CAPACITY);
            engines.add(engine);
            startAgent("text-" + (i + 1), domainOf(i), MODEL, engine.address());
        }
        startAgent("bookings-1", domainOf(0), BOOKINGS, bookings.address());
        for (int i = 0; i < ENTRY_COUNT; i++) {
            startEntry("entry-" + (i + 1), domainOf(i), i == 0 ? firstPort : 0);
        }
    }

    /** Returns the addresses on which the entry instances accept callers. */
    public List<String> entryAddresses() {
        return entries.stream().map(entry -> HOST + ":" + entry.callerPort()).toList();
    }

    /** Blocks until every entry instance has loaded its documents and is connected to every agent. */
    public void awaitReady() {
        while (!entries.stream().allMatch(this::isReady)) {
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    /** Returns example requests as shell commands. */
    public String exampleCommands() {
        String address = "http://" + entryAddresses().get(0);
        return String.join(
                "\n",
                "",
                "curl '" + address + "/v1/addresses?workspace=brand-managers'",
                "curl -N " + address + "/v1/chat/completions -H 'X-Workspace: brand-managers' -d "
                        + "'{\"model\":\"campaign-text\",\"stream\":true,\"messages\":"
                        + "[{\"role\":\"user\",\"content\":\"draft a caption\"}]}'",
                "curl " + address + "/services/bookings/trips -H 'X-Workspace: brand-managers' "
                        + "-H 'Idempotency-Key: trip-1' -d '{\"trip\":\"well 4\"}'",
                "");
    }

    /** Returns the stand-in of the booking service. */
    public BookingStandin bookings() {
        return bookings;
    }

    /** Returns the stand-ins of the model engines. */
    public List<EngineStandin> engines() {
        return List.copyOf(engines);
    }

    /** Returns the agents of the model engines, in the order of {@link #engines}, followed by that of the bookings. */
    public List<Agent> agents() {
        return List.copyOf(agents);
    }

    @Override
    public void close() {
        entries.forEach(EntryInstance::close);
        agents.forEach(Agent::close);
        engines.forEach(EngineStandin::close);
        bookings.close();
        list.close();
        log.close();
    }

    private boolean isReady(EntryInstance entry) {
        return entry.isReady()
                && entry.directory().usable(MODEL).size() == ENGINE_COUNT
                && entry.directory().usable(BOOKINGS).size() == 1
                && entry.homes().current(BOOKINGS.name()).isPresent();
    }

    private void startAgent(String name, String domain, Target target, Address endpoint) {
        AgentSettings settings = new AgentSettings(name, domain, HOST, 0, 0, target, endpoint, LOAD_INTERVAL_MILLIS);
        Agent agent = new Agent(
                settings, runtime.system(), runtime.group(), runtime.clock(), new EventLog(name), runtime.metrics());
        agents.add(agent);
        list.put(new Member(
                new InstanceId(name),
                MemberRole.AGENT,
                MemberState.LIVE,
                new FailureDomain(domain),
                HOST,
                agent.wirePort(),
                0,
                List.of(target)));
    }

    private void startEntry(String name, String domain, int callerPort) {
        EntrySettings settings = new EntrySettings(
                name,
                domain,
                HOST,
                callerPort,
                0,
                0,
                log.address(),
                list.address(),
                LIST_INTERVAL_MILLIS,
                ADDRESS_TTL_MILLIS,
                MAX_BODY_BYTES);
        EntryInstance entry = new EntryInstance(
                settings,
                runtime.system(),
                runtime.group(),
                () -> new RequestId(UUID.randomUUID().toString()),
                runtime.clock(),
                new EventLog(name),
                runtime.metrics());
        entries.add(entry);
        list.put(new Member(
                new InstanceId(name),
                MemberRole.ENTRY,
                MemberState.LIVE,
                new FailureDomain(domain),
                HOST,
                entry.wirePort(),
                entry.callerPort(),
                List.of()));
    }

    private static String domainOf(int index) {
        return index % 2 == 0 ? "sul-a" : "sul-b";
    }
}
