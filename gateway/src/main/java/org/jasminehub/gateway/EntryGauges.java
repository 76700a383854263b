package org.jasminehub.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.jasminehub.core.serving.RouteTable;
import org.jasminehub.gateway.call.CallDispatcher;
import org.jasminehub.gateway.control.ConfigurationController;
import org.jasminehub.gateway.control.EndpointController;
import org.jasminehub.gateway.control.EndpointMonitors;
import org.jasminehub.gateway.control.PeerExchange;
import org.jasminehub.gateway.net.EndpointClient;

/** Registers the metrics of an entry instance that show its current state. */
final class EntryGauges {
    private EntryGauges() {}

    static void register(
            MetricRegistry metrics,
            ConfigurationController configuration,
            EndpointController endpoints,
            EndpointMonitors monitors,
            EndpointClient client,
            PeerExchange peers,
            CallDispatcher dispatcher,
            BooleanSupplier isReady) {
        Map<String, Gauge<?>> gauges = Map.of(
                "calls.open", (Gauge<Integer>) dispatcher::openCalls,
                "configuration.version",
                        (Gauge<Long>) () ->
                                configuration.inForce().map(RouteTable::version).orElse(0L),
                "configuration.age.millis", (Gauge<Long>) configuration::ageMillis,
                "endpoints.registered", (Gauge<Integer>) () -> endpoints.all().size(),
                "endpoints.leaving", (Gauge<Integer>) endpoints::leavingCount,
                "endpoints.quiet", (Gauge<Integer>) monitors.quietPeriods()::quietCount,
                "endpoints.requests.withheld", (Gauge<Long>) monitors::withheld,
                "endpoints.connections.opened", (Gauge<Long>) client::connectionsOpened,
                "instances.accepting",
                        (Gauge<Integer>) () -> peers.acceptingInstances().size(),
                "ready", (Gauge<Integer>) () -> isReady.getAsBoolean() ? 1 : 0);
        gauges.forEach(metrics::register);
    }
}
