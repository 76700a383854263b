package org.jasminehub.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.intake.MemoryBudget;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.ControlEvent;
import org.jasminehub.gateway.control.ControlEventKind;
import org.jasminehub.gateway.control.InstanceRegistration;
import org.jasminehub.gateway.experts.RankAgentService;
import org.jasminehub.gateway.net.BufferedHttpClient;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.gateway.net.StoreConnection;
import org.jasminehub.gateway.peer.PeerLimits;
import org.jasminehub.gateway.peer.PeerServer;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.wire.generated.InstanceRecord;

/** The rank agent: a process that runs beside a model engine and to which coordinators connect. */
final class RankAgentProgram {
    /** The share of the heap that peers may use; the rest is for the agent's state and for garbage. */
    private static final double PEERS_MEMORY_SHARE = 0.2;

    /** Several times the largest order, which holds an expert map; a parsed message needs a multiple of its size. */
    private static final int MAX_MESSAGE_BYTES = 256 << 10;

    /** More than the entry instances that are coordinators at the same time, which is one at most times. */
    private static final int MAX_CONNECTIONS = 64;

    private final RankAgentSettings settings;
    private final Clock clock;
    private final EventLoop loop;
    private final EventSink events;
    private final InstanceRegistration registration;
    private final RankAgentService agent;

    RankAgentProgram(RankAgentSettings settings, Clock clock, EventSink events) {
        this.settings = settings;
        this.clock = clock;
        this.events = events;
        this.loop =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("agent"), NioIoHandler.newFactory()).next();
        EndpointClient client = new EndpointClient(loop, clock);
        EraTracker eras = new EraTracker(clock);
        StoreClient store =
                new StoreClient(new StoreConnection(client, EndpointAddress.parse(settings.storeAddress())), eras);
        InstanceRecord self = InstanceRecord.newBuilder()
                .setInstance(settings.instance())
                .setHost(settings.host())
                .setPeerPort(settings.agentPort())
                .setFailureDomain(settings.failureDomain())
                .setStartedWallMillis(clock.wallMillis())
                .setIsRankAgent(true)
                .build();
        this.registration = new InstanceRegistration(
                self,
                store,
                (delayMillis, action) -> loop.schedule(action, delayMillis, TimeUnit.MILLISECONDS),
                events,
                eras,
                new SplittableRandom(settings.instance().hashCode() ^ clock.wallMillis()));
        BufferedHttpClient engine =
                new BufferedHttpClient(client, EndpointAddress.parse(settings.engineAddress()), "engine");
        this.agent = new RankAgentService(loop, clock, engine, events, eras);
    }

    void start() {
        long memoryBytes = (long) (PEERS_MEMORY_SHARE * Runtime.getRuntime().maxMemory());
        PeerLimits limits = new PeerLimits(new MemoryBudget(memoryBytes, clock), MAX_CONNECTIONS, MAX_MESSAGE_BYTES);
        PeerServer.start(loop, new EndpointAddress(settings.host(), settings.agentPort()), agent, limits);
        loop.execute(() -> {
            registration.registerWithoutEra();
            agent.start();
        });
        events.emit(new ControlEvent(
                ControlEventKind.PROCESS_STARTED,
                settings.instance(),
                "rank agent of engine " + settings.engineAddress(),
                0));
    }

    /** Returns the event loop that runs the agent. */
    EventLoop loop() {
        return loop;
    }

    void stop() {
        // The registration is kept because the agent runs permanently on the engine's machine and restarts there.
        events.emit(new ControlEvent(ControlEventKind.PROCESS_STOPPED, settings.instance(), "", 0));
    }
}
