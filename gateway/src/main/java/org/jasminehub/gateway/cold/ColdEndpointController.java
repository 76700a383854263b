package org.jasminehub.gateway.cold;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jasminehub.core.cold.ColdEndpoints;
import org.jasminehub.core.cold.ColdSend;
import org.jasminehub.core.cold.ColdStartPolicy;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.serving.ColdStart;
import org.jasminehub.core.serving.ColdTime;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.EndpointRegistration;
import org.jasminehub.core.serving.RouteTable;
import org.jasminehub.core.serving.ServiceProfile;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.DelayedRunner;
import org.jasminehub.gateway.control.EndpointController;
import org.jasminehub.gateway.control.EndpointMonitors;
import org.jasminehub.gateway.control.PeerExchange;
import org.jasminehub.gateway.net.ExchangeMonitor;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the calls of all instances to a cold endpoint within the rate that it tolerates, without messages between them.
 * Services without a cold start in the configuration are not affected.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class ColdEndpointController {
    /** Interval at which the ends of cold times are noticed for log lines and metrics; decisions do not wait for it. */
    private static final long TICK_MILLIS = 200;

    private final Supplier<Optional<RouteTable>> configuration;
    private final EndpointController endpoints;
    private final DelayedRunner timer;
    private final Clock clock;
    private final EventSink events;
    private final ColdEndpoints cold;
    private final PeerSenderView view;
    private final ColdStartPolicy policy;
    private final Set<EndpointIncarnation> coldNow = new HashSet<>();
    private final Map<String, String> loggedDefects = new HashMap<>();
    private boolean isTicking;
    private long withheld;

    /** Creates the controller of the instance {@code self}, which follows the registrations and responses of endpoints. */
    public ColdEndpointController(
            String self,
            Supplier<Optional<RouteTable>> configuration,
            EndpointController endpoints,
            EndpointMonitors monitors,
            PeerExchange peers,
            DelayedRunner timer,
            Clock clock,
            EventSink events) {
        this.configuration = configuration;
        this.endpoints = endpoints;
        this.timer = timer;
        this.clock = clock;
        this.events = events;
        this.cold = new ColdEndpoints(clock);
        this.view = new PeerSenderView(self, peers, clock);
        this.policy = new ColdStartPolicy(clock, cold, view);
        endpoints.observeRegistrations(this::onRegistration);
        monitors.observeColdTimes(this::onResponse);
    }

    /** Registers the number of cold endpoints and of the calls held back because of them. */
    public void register(MetricRegistry metrics) {
        metrics.register("endpoints.cold", (Gauge<Integer>) coldNow::size);
        metrics.register("endpoints.cold.withheld", (Gauge<Long>) () -> withheld);
    }

    /** Returns whether the endpoints of {@code service} have a cold start. */
    public boolean hasColdStart(String service) {
        return coldStart(service) != null;
    }

    /** Returns whether {@code endpoint} must be treated as cold. */
    public boolean isCold(EndpointRecord endpoint) {
        ColdStart coldStart = coldStart(endpoint.service());
        return coldStart != null && policy.isCold(endpoint, coldStart);
    }

    /** Returns whether a call may be sent to {@code endpoint} now. */
    public boolean maySend(EndpointRecord endpoint) {
        ColdStart coldStart = coldStart(endpoint.service());
        return coldStart == null || policy.maySend(endpoint, coldStart, endpointCount(endpoint));
    }

    /**
     * Returns the time after which a caller should retry if all of {@code serving} are cold and this instance may send to
     * none of them now, else empty.
     *
     * @param position gives the position of the caller within the range of return times
     */
    public OptionalLong retryAfterMillis(String service, List<EndpointRecord> serving, DoubleSupplier position) {
        ColdStart coldStart = coldStart(service);
        if (coldStart == null
                || serving.isEmpty()
                || !serving.stream().allMatch(each -> policy.isCold(each, coldStart))) {
            return OptionalLong.empty();
        }
        return policy.retryAfterMillis(serving, coldStart, position.getAsDouble());
    }

    /** Records that a call was refused because all endpoints are cold. */
    public void onRefused() {
        withheld++;
    }

    /** Returns {@code monitor} with a check, right before the request is written, that {@code endpoint} may get it. */
    public ExchangeMonitor guard(EndpointRecord endpoint, ExchangeMonitor monitor) {
        ColdStart coldStart = coldStart(endpoint.service());
        if (coldStart == null) {
            return monitor;
        }
        ColdSend send = policy.onSent(endpoint, coldStart, endpointCount(endpoint));
        return new ExchangeMonitor() {
            @Override
            public boolean maySend() {
                return monitor.maySend() && (policy.mayWrite(send) || withhold());
            }

            @Override
            public void onHead(HttpResponseStatus status, HttpHeaders headers) {
                if (status.codeClass() == HttpStatusClass.SUCCESS) {
                    policy.onResponse(endpoint.incarnation());
                }
                monitor.onHead(status, headers);
            }
        };
    }

    private boolean withhold() {
        withheld++;
        return false;
    }

    private void onRegistration(EndpointRegistration registration) {
        EndpointRecord endpoint = registration.endpoint();
        if (cold.onRegistration(registration) && hasColdStart(endpoint.service())) {
            logDefect(endpoint.id().value(), "cold_remaining_ms", registration.coldTime());
        }
    }

    private void onResponse(EndpointIncarnation endpoint, ColdTime time) {
        if (cold.onResponse(endpoint, time)
                && endpoints
                        .find(endpoint.id())
                        .filter(each -> hasColdStart(each.service()))
                        .isPresent()) {
            logDefect(endpoint.id().value(), "the cold time in a response", time);
        }
        if (!coldNow.contains(endpoint) && (time.remainingMillis() > 0 || time.kind() == ColdTime.Kind.MALFORMED)) {
            update();
        }
    }

    private void logDefect(String endpoint, String name, ColdTime time) {
        String use = time.kind() == ColdTime.Kind.MALFORMED
                ? "the configured cold time is used"
                : time.remainingMillis() + " ms are used";
        events.emit(
                new ColdEvent(ColdEventKind.COLD_VALUE_ADJUSTED, endpoint, name + " is " + time.defect() + "; " + use));
    }

    /** Follows a change of the configuration or of the registered endpoints. */
    public void onChanged() {
        List<EndpointRecord> registered = endpoints.all();
        cold.onRegistrations(registered);
        policy.onRegistrations(registered);
        view.onRegistrations(
                registered.stream().map(EndpointRecord::incarnation).collect(Collectors.toSet()));
        update();
    }

    /** Logs which endpoints have turned cold or warm. */
    private void update() {
        configuration.get().ifPresent(this::logDefects);
        Set<EndpointIncarnation> registered = new HashSet<>();
        for (EndpointRecord endpoint : endpoints.all()) {
            ColdStart coldStart = coldStart(endpoint.service());
            if (coldStart != null && policy.isCold(endpoint, coldStart)) {
                registered.add(endpoint.incarnation());
                if (coldNow.add(endpoint.incarnation())) {
                    long remainingMillis = cold.endMillis(endpoint.incarnation(), coldStart) - clock.monotonicMillis();
                    events.emit(new ColdEvent(
                            ColdEventKind.ENDPOINT_COLD,
                            endpoint.id().value(),
                            "for " + remainingMillis + " ms; tolerates " + coldStart.requestsPerSecond()
                                    + " requests a second from all instances"));
                }
            }
        }
        coldNow.removeIf(endpoint -> {
            boolean isOver = !registered.contains(endpoint);
            if (isOver) {
                events.emit(new ColdEvent(
                        ColdEventKind.ENDPOINT_WARM,
                        endpoint.id().value(),
                        "run started at " + endpoint.startedWallMillis()));
            }
            return isOver;
        });
        startTicking();
    }

    private void startTicking() {
        if (!isTicking && !coldNow.isEmpty()) {
            isTicking = true;
            timer.runAfter(TICK_MILLIS, () -> {
                isTicking = false;
                update();
            });
        }
    }

    /** Logs the values of a configuration that cannot be used, once for each change of them. */
    private void logDefects(RouteTable table) {
        for (ServiceProfile service : table.services().values()) {
            ColdStart coldStart = service.coldStart();
            String defect = coldStart == null ? "" : coldStart.defect();
            String logged = loggedDefects.put(service.name(), defect);
            if (!defect.isEmpty() && !defect.equals(logged)) {
                events.emit(new ColdEvent(ColdEventKind.COLD_VALUE_ADJUSTED, service.name(), defect));
            }
        }
    }

    private int endpointCount(EndpointRecord endpoint) {
        return endpoints.serving(endpoint.service()).size();
    }

    private @Nullable ColdStart coldStart(String service) {
        return configuration
                .get()
                .map(table -> table.services().get(service))
                .map(ServiceProfile::coldStart)
                .orElse(null);
    }
}
