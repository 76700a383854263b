package org.jasminehub.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.jasminehub.core.balance.CallRetryBudget;
import org.jasminehub.core.balance.EndpointChoicePolicy;
import org.jasminehub.core.balance.EndpointLoads;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.locality.DomainAwareChoice;
import org.jasminehub.core.locality.LocalitySettings;
import org.jasminehub.core.serving.EngineProfile;
import org.jasminehub.core.serving.ExpertLayout;
import org.jasminehub.core.serving.RouteTable;
import org.jasminehub.core.serving.ServiceProfile;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.call.DomainTraffic;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.gateway.net.StoreConnection;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.wire.generated.InstanceRecord;

/** Creates the parts of an entry instance that depend on its settings alone. */
final class EntrySetup {
    private static final long LOOP_END_MILLIS = 50;

    private EntrySetup() {}

    static InstanceRecord self(GatewaySettings settings, Clock clock) {
        EndpointAddress caller = EndpointAddress.parse(settings.callerAddress());
        return InstanceRecord.newBuilder()
                .setInstance(settings.instance())
                .setHost(caller.host())
                .setCallerPort(caller.port())
                .setPeerPort(EndpointAddress.parse(settings.peerAddress()).port())
                .setFailureDomain(settings.failureDomain())
                .setStartedWallMillis(clock.wallMillis())
                .setProcessorCores(settings.processorCores())
                .build();
    }

    static CallRetryBudget newRetryBudget(GatewaySettings settings, Clock clock) {
        long windowMillis = (long) (settings.repeatWindowSeconds() * TimeUnit.SECONDS.toMillis(1));
        return new CallRetryBudget(clock, settings.repeatRatio(), settings.repeatReserve(), windowMillis);
    }

    static DomainAwareChoice newChoice(
            GatewaySettings settings,
            EndpointLoads loads,
            Clock clock,
            RandomGenerator random,
            IntSupplier instances,
            DomainTraffic traffic) {
        FailureDomain home = new FailureDomain(settings.failureDomain());
        CapacitySettings capacity = settings.capacity();
        DomainAwareChoice choice = new DomainAwareChoice(
                new EndpointChoicePolicy(loads, home, random),
                loads,
                clock,
                home,
                new LocalitySettings(capacity.crossDomainCost(), capacity.homeDomainMinEndpoints()),
                random,
                instances,
                traffic::onSpilloverChanged);
        traffic.register(choice);
        return choice;
    }

    static StoreClient newStore(
            GatewaySettings settings, EndpointClient client, EraTracker eras, MetricRegistry metrics) {
        return new StoreClient(
                new StoreConnection(client, EndpointAddress.parse(settings.storeAddress())),
                eras,
                new StoreCallMetrics(metrics));
    }

    /** Returns the expert layout of the first service with experts to place. */
    static ExpertLayout expertLayout(Optional<RouteTable> table) {
        return table.stream()
                .flatMap(each -> each.services().values().stream())
                .map(ServiceProfile::engine)
                .filter(engine -> engine != null && engine.experts().isPlaceable())
                .map(EngineProfile::experts)
                .findFirst()
                .orElse(ExpertLayout.NONE);
    }

    static EventLoop newLoop() {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("gateway"), NioIoHandler.newFactory())
                .next();
    }

    /**
     * Ends the event loop of a process that has stopped. Until the JVM has ended, which takes longer while a thread waits
     * in the operating system, a running loop would go on reading requests that can no longer be answered or logged.
     */
    static void endLoop(EventLoop loop) {
        loop.shutdownGracefully(0, LOOP_END_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(LOOP_END_MILLIS);
    }
}
