package org.jasminehub.gateway.experts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.intake.MemoryBudget;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.ExpertLayout;
import org.jasminehub.core.serving.GroupSeat;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.DelayedRunner;
import org.jasminehub.gateway.net.BufferedHttpClient;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.gateway.net.ExchangeMonitor;
import org.jasminehub.gateway.peer.PeerConnection;
import org.jasminehub.gateway.peer.PeerLimits;
import org.jasminehub.gateway.peer.PeerServer;
import org.jasminehub.platform.hosted.ResponseHeadersAdapter;
import org.jasminehub.runtime.time.SystemClock;
import org.jasminehub.wire.generated.InstanceRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs coordinators and agents against a simulated group of engines over real sockets. */
@Timeout(60)
final class ExpertPlacementTest {
    private static final int SIZE = 3;
    private static final int EXPERTS = 6;
    private static final int HOT = 0;
    private static final ExpertLayout LAYOUT = new ExpertLayout(1, EXPERTS, 4, 2, 1, 0.85);

    private static final PeerLimits PEER_LIMITS =
            new PeerLimits(new MemoryBudget(1 << 20, new SystemClock()), 16, PeerConnection.MAX_MESSAGE_BYTES);

    private final Clock clock = new SystemClock();
    private final EventSink events = event -> {};
    private final List<PeerServer> agentServers = new ArrayList<>();
    private final List<InstanceRecord> agents = new ArrayList<>();
    private final AtomicBoolean isFirstResponsible = new AtomicBoolean(true);
    private final AtomicInteger heldBack = new AtomicInteger();
    private volatile String quietEndpoint = "";
    private final Set<String> leaving = ConcurrentHashMap.newKeySet();
    private EventLoop loop;
    private EventLoop engineLoop;
    private GroupStandin group;

    private static EventLoop newLoop(String name) {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory())
                .next();
    }

    @BeforeEach
    void start() {
        loop = newLoop("system");
        engineLoop = newLoop("engines");
        group = new GroupStandin(engineLoop, SIZE, EXPERTS, HOT);
        for (int rank = 0; rank < SIZE; rank++) {
            BufferedHttpClient engine =
                    new BufferedHttpClient(new EndpointClient(loop, clock), group.address(rank), "engine");
            RankAgentService agent = new RankAgentService(loop, clock, engine, events, new EraTracker(clock));
            PeerServer server = PeerServer.start(loop, new EndpointAddress("127.0.0.1", 0), agent, PEER_LIMITS);
            loop.execute(agent::start);
            agentServers.add(server);
            agents.add(InstanceRecord.newBuilder()
                    .setInstance("agent-" + rank)
                    .setHost("127.0.0.1")
                    .setPeerPort(server.port())
                    .setIsRankAgent(true)
                    .build());
        }
    }

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        engineLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void startCoordinator(BooleanSupplier isResponsible) {
        DelayedRunner timer = (delayMillis, action) -> loop.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
        ExpertCoordinator coordinator = new ExpertCoordinator(
                loop,
                clock,
                timer,
                events,
                () -> agents,
                () -> LAYOUT,
                new EndpointClient(loop, clock),
                this::endpoints,
                this::monitor,
                new EraTracker(clock),
                group -> isResponsible.getAsBoolean());
        loop.execute(coordinator::start);
    }

    private List<EndpointRecord> endpoints() {
        List<EndpointRecord> result = new ArrayList<>();
        for (int rank = 0; rank < SIZE; rank++) {
            result.add(new EndpointRecord(
                    new EndpointId("e-" + rank),
                    1,
                    "one",
                    "127.0.0.1",
                    group.address(rank).port(),
                    new FailureDomain("a"),
                    8,
                    false,
                    new GroupSeat("g", 1, rank, SIZE, true)));
        }
        return result;
    }

    /** Returns a monitor that collects the endpoints whose responses announce that they are leaving. */
    private ExchangeMonitor monitor(EndpointRecord endpoint) {
        return new ExchangeMonitor() {
            @Override
            public boolean maySend() {
                boolean isHeldBack = endpoint.id().value().equals(quietEndpoint);
                heldBack.addAndGet(isHeldBack ? 1 : 0);
                return !isHeldBack;
            }

            @Override
            public void onHead(HttpResponseStatus status, HttpHeaders headers) {
                if (ResponseHeadersAdapter.decode(status, headers).isLeaving()) {
                    leaving.add(endpoint.id().value());
                }
            }
        };
    }

    private static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            if (Thread.currentThread().isInterrupted()) {
                throw new AssertionError("the test was interrupted by its timeout");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    @Test
    void testAHotExpertGetsReplicasAndTheGroupStaysOnOneMap() {
        startCoordinator(() -> true);

        await(() -> group.ranksWith(HOT) > 1);

        assertFalse(group.hasMixedMaps());
    }

    @Test
    void testOrdersWithLostResponsesAreResent() {
        group.dropResponses(9);
        startCoordinator(() -> true);

        await(() -> group.ranksWith(HOT) > 1 && !group.isHeld());

        assertFalse(group.hasMixedMaps());
    }

    @Test
    void testTwoCoordinatorsAtOnceKeepTheGroupOnOneMap() {
        startCoordinator(isFirstResponsible::get);
        startCoordinator(() -> true);

        await(() -> group.ranksWith(HOT) > 1);
        isFirstResponsible.set(false);
        await(() -> !group.isHeld());

        assertFalse(group.hasMixedMaps());
    }

    @Test
    void testAHeldStepIsReleasedAlthoughOneAgentIsGone() {
        group.holdNextStep();
        agentServers.get(1).close();
        agents.remove(1);
        startCoordinator(() -> true);

        await(() -> !group.isHeld() && group.versionInUse() > 0);

        assertFalse(group.hasMixedMaps());
    }

    @Test
    void testAnEngineThatIsReachedDirectlyIsHeardWhenItAnnouncesItsLeaving() {
        group.announceLeaving(1);
        group.holdNextStep();
        agentServers.get(1).close();
        agents.remove(1);
        startCoordinator(() -> true);

        await(() -> !leaving.isEmpty() && !group.isHeld() && group.versionInUse() > 0);

        assertEquals(Set.of("e-1"), leaving);
        assertFalse(group.hasMixedMaps());
    }

    @Test
    void testAnEngineThatAskedForQuietIsNotReachedDirectlyUntilThePeriodEnds() {
        quietEndpoint = "e-1";
        group.holdNextStep();
        agentServers.get(1).close();
        agents.remove(1);
        startCoordinator(() -> true);
        await(() -> heldBack.get() >= 5);
        assertEquals(0, group.requests(1));

        quietEndpoint = "";

        await(() -> !group.isHeld() && group.versionInUse() > 0);
        assertFalse(group.hasMixedMaps());
    }
}
