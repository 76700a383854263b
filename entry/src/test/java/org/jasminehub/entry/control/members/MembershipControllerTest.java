package org.jasminehub.entry.control.members;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Queue;
import java.util.UUID;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.jasminehub.agent.Agent;
import org.jasminehub.agent.AgentSettings;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.membership.MembershipEventKind;
import org.jasminehub.core.membership.Target;
import org.jasminehub.core.time.Clock;
import org.jasminehub.entry.EntryInstance;
import org.jasminehub.entry.EntrySettings;
import org.jasminehub.runtime.time.SystemClock;
import org.jasminehub.standin.BookingStandin;
import org.jasminehub.standin.InstanceListStandin;
import org.jasminehub.standin.LogStandin;
import org.jasminehub.wire.ControlRouter;
import org.jasminehub.wire.WireGroup;
import org.jasminehub.wire.WireProtocol;
import org.jasminehub.wire.WireServer;
import org.jasminehub.wire.generated.AnswerRefused;
import org.jasminehub.wire.generated.Hello;
import org.jasminehub.wire.generated.MemberReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class MembershipControllerTest {
    private static final String HOST = "127.0.0.1";
    private static final Target BOOKINGS = Target.service("bookings");
    private static final long POLL_NANOS = 5_000_000;
    private static final int REFRESH_MILLIS = 100;

    private final Clock clock = new SystemClock();
    private final Queue<Event> events = new ConcurrentLinkedQueue<>();
    private ActorSystem<Void> system;
    private WireGroup group;
    private LogStandin log;
    private InstanceListStandin list;
    private BookingStandin bookings;
    private Agent firstAgent;
    private Agent secondAgent;
    private EntryInstance entry;
    private EntryInstance peer;

    @BeforeEach
    void start() {
        system = ActorSystem.create(Behaviors.empty(), "test");
        group = new WireGroup(2);
        log = new LogStandin(system, 0);
        list = new InstanceListStandin(system, 0);
        bookings = new BookingStandin(system, 0);
        firstAgent = startAgent("agent-1");
        secondAgent = startAgent("agent-2");
        entry = startEntry("entry-1", events);
        peer = startEntry("entry-2", new ConcurrentLinkedQueue<>());
        await(() -> entry.directory().usable(BOOKINGS).size() == 2);
        await(() -> isLive("entry-2") && isLive("agent-1"));
    }

    @AfterEach
    void stop() {
        entry.close();
        peer.close();
        firstAgent.close();
        secondAgent.close();
        bookings.close();
        list.close();
        log.close();
        system.terminate();
        group.close();
    }

    @Test
    void testLeavingAgentGetsNoNewWorkWhileTheListLags() {
        list.freeze(true);
        firstAgent.leave();
        await(() -> !isLive("agent-1"));
        awaitRefreshes();
        assertUsable("agent-2");
    }

    @Test
    void testListThatIsSuddenlyEmptyRemovesNoMember() {
        list.showEmptyList();
        await(() -> hasEvent(MembershipEventKind.LIST_DOUBTED));
        awaitRefreshes();
        assertUsable("agent-1", "agent-2");
        await(() -> isLive("entry-2"));
    }

    @Test
    void testUnavailableListRemovesNoMember() {
        list.setDown(true);
        awaitRefreshes();
        assertUsable("agent-1", "agent-2");
    }

    @Test
    void testStoppedPeerIsNotLiveWhileTheListLags() {
        list.freeze(true);
        peer.close();
        await(() -> !isLive("entry-2"));
        await(() -> hasEvent(MembershipEventKind.MEMBER_SILENT));
    }

    @Test
    void testReportOfAPeerIsApplied() {
        MemberReport report = MemberReport.newBuilder()
                .setInstance("agent-1")
                .setIncarnation(Long.MAX_VALUE)
                .setLeaving(true)
                .build();
        Hello hello = Hello.newBuilder()
                .setProtocolVersion(WireProtocol.VERSION)
                .setInstance("entry-3")
                .setIncarnation(1)
                .addMembers(report)
                .build();
        try (WireServer third = WireServer.start(
                group,
                HOST,
                0,
                () -> hello,
                call -> call.refuse(AnswerRefused.newBuilder()),
                new ControlRouter(),
                events::add)) {
            list.put(member("entry-3", MemberRole.ENTRY, third.port(), List.of()));
            await(() -> !isLive("agent-1"));
        }
    }

    private boolean isLive(String instance) {
        return entry.state().members().stream()
                .anyMatch(member -> member.id().value().equals(instance) && member.isLive());
    }

    private boolean hasEvent(MembershipEventKind kind) {
        return events.stream().anyMatch(event -> event.kind() == kind);
    }

    private void assertUsable(String... agents) {
        await(() -> entry.directory().usable(BOOKINGS).stream()
                .map(link -> link.id().value())
                .sorted()
                .toList()
                .equals(List.of(agents)));
    }

    /** Waits until the list was read three more times, so that its content at the time of this call was applied. */
    private void awaitRefreshes() {
        long readsBefore = list.reads();
        await(() -> list.reads() >= readsBefore + 3);
    }

    private static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private Agent startAgent(String name) {
        AgentSettings settings =
                new AgentSettings(name, "domain-1", HOST, 0, 0, BOOKINGS, bookings.address(), REFRESH_MILLIS);
        Agent agent = new Agent(settings, system, group, clock, events::add, new MetricRegistry());
        list.put(member(name, MemberRole.AGENT, agent.wirePort(), List.of(BOOKINGS)));
        return agent;
    }

    private EntryInstance startEntry(String name, Queue<Event> sink) {
        EntrySettings settings = new EntrySettings(
                name,
                "domain-1",
                HOST,
                0,
                0,
                0,
                log.address(),
                list.address(),
                REFRESH_MILLIS,
                (int) TimeUnit.SECONDS.toMillis(10),
                1024);
        EntryInstance started = new EntryInstance(
                settings,
                system,
                group,
                () -> new RequestId(UUID.randomUUID().toString()),
                clock,
                sink::add,
                new MetricRegistry());
        list.put(member(name, MemberRole.ENTRY, started.wirePort(), List.of()));
        return started;
    }

    private static Member member(String name, MemberRole role, int wirePort, List<Target> serves) {
        return new Member(
                new InstanceId(name), role, MemberState.LIVE, new FailureDomain("domain-1"), HOST, wirePort, 0, serves);
    }
}
