package org.jasminehub.entry;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.pekko.actor.typed.ActorSystem;
import org.jasminehub.core.address.AddressPolicy;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.limit.LimitSettings;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.routing.EndpointPolicy;
import org.jasminehub.core.routing.FirstTokenEstimate;
import org.jasminehub.core.routing.FirstTokenPolicy;
import org.jasminehub.core.routing.NetworkDistance;
import org.jasminehub.core.time.Clock;
import org.jasminehub.entry.control.ControlThread;
import org.jasminehub.entry.drain.DrainController;
import org.jasminehub.entry.endpoint.EndpointDirectory;
import org.jasminehub.entry.filter.MetricsFilter;
import org.jasminehub.entry.filter.RequestFilter;
import org.jasminehub.entry.filter.RequestHandler;
import org.jasminehub.entry.filter.limit.AddressShareViewSource;
import org.jasminehub.entry.filter.limit.LimitFilter;
import org.jasminehub.entry.filter.operation.HomeTableController;
import org.jasminehub.entry.filter.operation.OperationFilter;
import org.jasminehub.entry.relay.RelayHandler;

/** Builds the filter chain that processes every request. Not thread-safe. */
final class RequestChainFactory {
    private static final double CROSS_DOMAIN_DELAY_MILLIS = 1.5;
    private static final double REPORT_HALF_LIFE_MILLIS = 2_000;
    private static final int SAMPLED_ENDPOINTS = 2;

    private final EntrySettings settings;
    private final ActorSystem<?> system;
    private final ControlThread control;
    private final EndpointDirectory directory;
    private final AddressPolicy addresses;
    private final Clock clock;
    private final EventSink events;
    private final MetricRegistry metrics;

    RequestChainFactory(
            EntrySettings settings,
            ActorSystem<?> system,
            ControlThread control,
            EndpointDirectory directory,
            AddressPolicy addresses,
            Clock clock,
            EventSink events,
            MetricRegistry metrics) {
        this.settings = settings;
        this.system = system;
        this.control = control;
        this.directory = directory;
        this.addresses = addresses;
        this.clock = clock;
        this.events = events;
        this.metrics = metrics;
    }

    /**
     * Returns the filter chain. The operation filter precedes every filter that can refuse a request, so that it can
     * confirm the outcome "not run" of each refusal with the home of the key.
     */
    RequestHandler create(DrainController drain, HomeTableController homes) {
        OperationFilter operations = new OperationFilter(directory, homes, clock, events);
        List<RequestFilter> filters = List.of(new MetricsFilter(metrics), operations, drain, newLimitFilter());
        return RequestFilter.chain(filters, operations.terminal(newRelay()));
    }

    private RelayHandler newRelay() {
        FailureDomain origin = new FailureDomain(settings.failureDomain());
        return new RelayHandler(system, origin, directory, newPolicy(), clock, events);
    }

    private EndpointPolicy newPolicy() {
        FirstTokenEstimate estimate = new FirstTokenEstimate(
                NetworkDistance.uniform(CROSS_DOMAIN_DELAY_MILLIS), REPORT_HALF_LIFE_MILLIS, addresses.count());
        return new FirstTokenPolicy(
                estimate, SAMPLED_ENDPOINTS, () -> ThreadLocalRandom.current().nextLong());
    }

    private LimitFilter newLimitFilter() {
        AddressShareViewSource shares = new AddressShareViewSource(
                new InstanceId(settings.instance()),
                addresses,
                () -> control.state().membersOf(MemberRole.ENTRY));
        return new LimitFilter(clock, LimitSettings.defaults(), shares);
    }
}
