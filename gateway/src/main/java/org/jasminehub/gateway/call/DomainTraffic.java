package org.jasminehub.gateway.call;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.locality.DomainAwareChoice;
import org.jasminehub.core.locality.SpilloverChange;
import org.jasminehub.core.serving.EndpointRecord;

/** Reports how many calls stay in the local failure domain and how many are sent to each other one. */
public final class DomainTraffic {
    private static final double PERCENT = 100;

    private final FailureDomain home;
    private final MetricRegistry metrics;
    private final EventSink events;

    /** Creates reports for an instance in the failure domain {@code home}. */
    public DomainTraffic(FailureDomain home, MetricRegistry metrics, EventSink events) {
        this.home = home;
        this.metrics = metrics;
        this.events = events;
    }

    /** Registers the largest share of a service's calls that {@code choice} sends to other domains. */
    public void register(DomainAwareChoice choice) {
        metrics.register("spillover.share", (Gauge<Double>) choice::largestShare);
    }

    /** Records a call that is sent to {@code endpoint}. */
    void onSent(EndpointRecord endpoint) {
        String name = endpoint.domain().equals(home)
                ? "calls.sent.home"
                : "calls.sent.domain." + endpoint.domain().value();
        metrics.counter(name).inc();
    }

    /** Logs that more or fewer calls leave the domain. */
    public void onSpilloverChanged(SpilloverChange change) {
        events.emit(new SpilloverEvent(
                change.service(), change.extent().name(), Math.round(change.homeUtilization() * PERCENT)));
    }
}
