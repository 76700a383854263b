package org.jasminehub.gateway.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.jasminehub.core.balance.EndpointLoads;
import org.jasminehub.core.balance.GroupBackoff;
import org.jasminehub.core.balance.QuietPeriods;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.locality.DomainAwareChoice;
import org.jasminehub.core.ratelimit.RatePermits;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.EngineProfile;
import org.jasminehub.core.serving.ServiceProfile;
import org.jasminehub.gateway.cold.ColdEndpointController;
import org.jasminehub.gateway.control.DelayedRunner;
import org.jasminehub.gateway.control.EndpointController;

/** Selects the endpoints that calls are sent to. Must be used on the process's event loop only. */
final class EndpointSelector {
    /**
     * Interval at which queued calls are reconsidered while endpoints are quiet, start slowly or have no allowance, or
     * slots are left to other instances.
     */
    private static final long QUIET_TICK_MILLIS = 50;

    /** Permits that a call requests at a time if no endpoint may take it now; the first may be a long time off. */
    private static final int MAX_PERMIT_REQUESTS = 4;

    private final EndpointController endpoints;
    private final QuietPeriods quiet;
    private final EndpointLoads loads;
    private final DomainAwareChoice choice;
    private final GroupBackoff groupBackoff;
    private final ConcurrencyLimits concurrency;
    private final RatePermits permits;
    private final ColdEndpointController cold;
    private final DelayedRunner timer;
    private final Runnable dispatchQueued;
    private boolean isQuietTickDue;

    /**
     * Creates a selector.
     *
     * @param dispatchQueued runs when queued calls may have become possible to send
     */
    EndpointSelector(
            EndpointController endpoints,
            QuietPeriods quiet,
            EndpointLoads loads,
            DomainAwareChoice choice,
            GroupBackoff groupBackoff,
            ConcurrencyLimits concurrency,
            RatePermits permits,
            ColdEndpointController cold,
            DelayedRunner timer,
            Runnable dispatchQueued) {
        this.endpoints = endpoints;
        this.quiet = quiet;
        this.loads = loads;
        this.choice = choice;
        this.groupBackoff = groupBackoff;
        this.concurrency = concurrency;
        this.permits = permits;
        this.cold = cold;
        this.timer = timer;
        this.dispatchQueued = dispatchQueued;
    }

    /** Returns an endpoint with capacity for {@code call}, or empty if there is none. */
    Optional<EndpointRecord> choose(RunningCall call, ServiceQueue queue) {
        List<EndpointRecord> serving = serving(call);
        // The limits of a group also depend on its quiet endpoints, whose calls go on.
        ToDoubleFunction<EndpointId> maxCallsPerSlot = maxCallsPerSlot(call, queue, serving);
        boolean isOnlyEndpoint = endpoints.serving(call.service()).size() == 1;
        List<EndpointRecord> candidates = serving.stream()
                .filter(endpoint -> call.attempts().mayUse(endpoint.id()))
                // A second copy at the endpoint of a silent stream is useful only if there is no other endpoint.
                .filter(endpoint -> isOnlyEndpoint || !call.attempts().isOpenAt(endpoint.id()))
                .filter(this::isPastQuietPeriod)
                .toList();
        return cold.hasColdStart(call.service())
                ? chooseWarmFirst(call, candidates, maxCallsPerSlot)
                : chooseAmong(call, candidates, maxCallsPerSlot);
    }

    /** Cold endpoints are slower, so they get only the calls for which no warm one has capacity. */
    private Optional<EndpointRecord> chooseWarmFirst(
            RunningCall call, List<EndpointRecord> candidates, ToDoubleFunction<EndpointId> maxCallsPerSlot) {
        Map<Boolean, List<EndpointRecord>> allowedByCold =
                candidates.stream().filter(cold::maySend).collect(Collectors.partitioningBy(cold::isCold));
        List<EndpointRecord> warm = allowedByCold.getOrDefault(false, List.of());
        List<EndpointRecord> coldOnes = allowedByCold.getOrDefault(true, List.of());
        Optional<EndpointRecord> chosen = chooseAmong(call, warm, maxCallsPerSlot);
        if (chosen.isEmpty()) {
            chosen = chooseAmong(call, coldOnes, maxCallsPerSlot);
        }
        if (chosen.isEmpty() && warm.size() + coldOnes.size() < candidates.size()) {
            reconsiderSoon();
        }
        return chosen;
    }

    private Optional<EndpointRecord> chooseAmong(
            RunningCall call, List<EndpointRecord> candidates, ToDoubleFunction<EndpointId> maxCallsPerSlot) {
        if (candidates.stream().noneMatch(permits::isLimited)) {
            return choose(call, candidates, maxCallsPerSlot);
        }
        boolean hasEndpoint = choosePermitted(call, candidates, maxCallsPerSlot).isPresent();
        requestPermits(call, candidates, maxCallsPerSlot, hasEndpoint ? 1 : MAX_PERMIT_REQUESTS);
        return choosePermitted(call, candidates, maxCallsPerSlot);
    }

    private Optional<EndpointRecord> choose(
            RunningCall call, List<EndpointRecord> candidates, ToDoubleFunction<EndpointId> maxCallsPerSlot) {
        boolean wasSent = !call.triedEndpoints().isEmpty();
        return choice.choose(call.service(), candidates, call.triedEndpoints(), maxCallsPerSlot, wasSent);
    }

    private Optional<EndpointRecord> choosePermitted(
            RunningCall call, List<EndpointRecord> candidates, ToDoubleFunction<EndpointId> maxCallsPerSlot) {
        List<EndpointRecord> permitted =
                candidates.stream().filter(permits::maySend).toList();
        return choose(call, permitted, maxCallsPerSlot);
    }

    /** Requests permits for the endpoints that would be chosen without rate limits, up to the first that needs none. */
    private void requestPermits(
            RunningCall call,
            List<EndpointRecord> candidates,
            ToDoubleFunction<EndpointId> maxCallsPerSlot,
            int maxRequests) {
        List<EndpointRecord> wanted = new ArrayList<>(candidates);
        wanted.removeIf(endpoint -> !permits.maySend(endpoint) && !permits.mayRequest(endpoint));
        for (int requests = 0; requests < maxRequests; requests++) {
            Optional<EndpointRecord> best = choose(call, wanted, maxCallsPerSlot);
            if (best.isEmpty() || permits.maySend(best.get())) {
                return;
            }
            permits.request(best.get());
            wanted.remove(best.get());
        }
    }

    private boolean isPastQuietPeriod(EndpointRecord endpoint) {
        boolean isAccepted = quiet.accepts(endpoint);
        if (!isAccepted) {
            reconsiderSoon();
        }
        return isAccepted;
    }

    /** Makes the queued calls be reconsidered shortly, even if nothing else happens. */
    void reconsiderSoon() {
        if (!isQuietTickDue) {
            isQuietTickDue = true;
            timer.runAfter(QUIET_TICK_MILLIS, this::onQuietTick);
        }
    }

    /** Returns how many more calls could be open at the endpoints that {@code call} could be sent to. */
    int freeSlots(RunningCall call, ServiceQueue queue) {
        List<EndpointRecord> serving = serving(call);
        ToDoubleFunction<EndpointId> maxCallsPerSlot = maxCallsPerSlot(call, queue, serving);
        return serving.stream()
                .filter(this::isPastQuietPeriod)
                .mapToInt(endpoint -> freeSlots(endpoint, maxCallsPerSlot.applyAsDouble(endpoint.id())))
                .sum();
    }

    private int freeSlots(EndpointRecord endpoint, double maxCallsPerSlot) {
        double maxCalls = endpoint.slots() * maxCallsPerSlot / loads.slowdown(endpoint.id());
        return Math.max(0, (int) maxCalls - loads.openCalls(endpoint.id()));
    }

    private List<EndpointRecord> serving(RunningCall call) {
        return endpoints.serving(call.service()).stream()
                .filter(endpoint -> endpoint.seat() == null
                        || !groupBackoff.isBackingOff(endpoint.seat().group()))
                .toList();
    }

    private void onQuietTick() {
        isQuietTickDue = quiet.isActive();
        if (isQuietTickDue) {
            timer.runAfter(QUIET_TICK_MILLIS, this::onQuietTick);
        }
        dispatchQueued.run();
    }

    private ToDoubleFunction<EndpointId> maxCallsPerSlot(
            RunningCall call, ServiceQueue queue, List<EndpointRecord> serving) {
        ServiceProfile profile = call.profile();
        double limit = concurrency.maxCallsPerSlot(profile);
        EngineProfile engine = profile == null ? null : profile.engine();
        if (engine == null) {
            return endpoint -> limit;
        }
        Map<EndpointId, Double> callsPerSlot = queue.concurrencyLimits()
                .callsPerSlot(engine, call.route().maxPauseMillis(), serving, loads::openCalls);
        return endpoint -> Math.min(limit, callsPerSlot.getOrDefault(endpoint, limit));
    }
}
