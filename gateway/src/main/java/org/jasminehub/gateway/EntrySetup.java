package org.jasminehub.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.balance.CallRetryBudget;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.gateway.net.StoreConnection;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.wire.generated.InstanceRecord;

/** Creates the parts of an entry instance that depend on its settings alone. */
final class EntrySetup {
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

    static StoreClient newStore(
            GatewaySettings settings, EndpointClient client, EraTracker eras, MetricRegistry metrics) {
        return new StoreClient(
                new StoreConnection(client, EndpointAddress.parse(settings.storeAddress())),
                eras,
                new StoreCallMetrics(metrics));
    }

    static EventLoop newLoop() {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("gateway"), NioIoHandler.newFactory())
                .next();
    }
}
