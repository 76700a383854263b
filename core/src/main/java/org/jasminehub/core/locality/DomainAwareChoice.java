package org.jasminehub.core.locality;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.jasminehub.core.balance.EndpointChoicePolicy;
import org.jasminehub.core.balance.EndpointLoads;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;

/**
 * Chooses endpoints in the local failure domain while it has capacity, and sends a share of the calls to other domains
 * as it fills up.
 *
 * <p>Load pattern: many instances in each domain send calls to a service whose endpoints are spread over the domains, and
 * traffic between domains is slower and costs money. {@link SpilloverPolicy} determines the share that leaves. A call
 * that is already at risk of missing its target, and a call for which its domain has no endpoint with capacity, may go
 * to any domain.
 *
 * <p>Not thread-safe.
 */
public final class DomainAwareChoice {
    /** Within this time few calls begin or end, so the loads of the domains need not be added up for each call. */
    private static final long UPDATE_INTERVAL_MILLIS = 50;

    /**
     * Failures of late from which an endpoint is no reason to stay in its domain: one within about the last 2.5 s that
     * no success followed.
     */
    private static final double FAILING_WEIGHT = 0.5;

    /**
     * Candidates that are compared for a call in a large fleet. In a replay of 30 instances with statuses 300 ms old, 3
     * random candidates exceeded the slots of an endpoint least often; with all candidates one call in ten did at half of
     * the capacity.
     */
    private static final int SAMPLE_SIZE = 3;

    /**
     * Number of instances from which candidates are sampled. Fewer exchange statuses every 80 ms, and each of them knows
     * a larger part of the load, so comparing all candidates spreads calls more evenly.
     */
    private static final int MIN_INSTANCES_FOR_SAMPLING = 18;

    private final EndpointChoicePolicy choice;
    private final EndpointLoads loads;
    private final Clock clock;
    private final FailureDomain home;
    private final LocalitySettings settings;
    private final RandomGenerator random;
    private final IntSupplier instances;
    private final Consumer<SpilloverChange> onChanged;
    private final Map<String, ServiceState> states = new HashMap<>();

    /** The loads and the share of one service as of the last update. */
    private static final class ServiceState {
        private final SpilloverPolicy policy;
        private Map<FailureDomain, DomainLoad> domainLoads = Map.of();
        private SpilloverExtent extent = SpilloverExtent.NONE;
        private long updatedMillis = Long.MIN_VALUE;

        ServiceState(SpilloverPolicy policy) {
            this.policy = policy;
        }
    }

    /**
     * Creates a choice for an instance in the failure domain {@code home}.
     *
     * @param instances an upper bound for the number of entry instances
     * @param onChanged receives each change between no calls, some calls and all calls leaving the domain
     */
    public DomainAwareChoice(
            EndpointChoicePolicy choice,
            EndpointLoads loads,
            Clock clock,
            FailureDomain home,
            LocalitySettings settings,
            RandomGenerator random,
            IntSupplier instances,
            Consumer<SpilloverChange> onChanged) {
        this.choice = choice;
        this.loads = loads;
        this.clock = clock;
        this.home = home;
        this.settings = settings;
        this.random = random;
        this.instances = instances;
        this.onChanged = onChanged;
    }

    /** Returns the share of calls to {@code service} that is sent to other domains, 0 if its domain is not preferred. */
    public double share(String service) {
        ServiceState state = states.get(service);
        return state == null ? 0 : state.policy.share();
    }

    /** Returns the largest share of all services. */
    public double largestShare() {
        return states.values().stream()
                .mapToDouble(state -> state.policy.share())
                .max()
                .orElse(0);
    }

    /**
     * Returns the endpoint for a call, or empty if another call would take every one above its limit.
     *
     * @param avoided endpoints that already failed this call
     * @param maxCallsPerSlot the limit of an endpoint
     * @param isAtRisk whether the call waited or was sent before, so that it should go wherever there is capacity
     */
    public Optional<EndpointRecord> choose(
            String service,
            List<EndpointRecord> candidates,
            Set<EndpointId> avoided,
            ToDoubleFunction<EndpointId> maxCallsPerSlot,
            boolean isAtRisk) {
        if (!isHomePreferred(candidates)) {
            return choice.choose(candidates, avoided, maxCallsPerSlot);
        }
        int slots = candidates.get(0).slots();
        double cost = settings.crossDomainCost() / slots;
        ServiceState state = updatedState(service, candidates, maxCallsPerSlot, cost);
        if (!isAtRisk) {
            Optional<EndpointRecord> preferred =
                    choose(domainForCall(state), candidates, avoided, maxCallsPerSlot, cost);
            if (preferred.isPresent()) {
                return preferred;
            }
        }
        return chooseSampled(candidates, avoided, maxCallsPerSlot, cost);
    }

    /**
     * Chooses among a few random candidates, or among all if none of these has capacity. While statuses are under way,
     * many instances would all send to the one endpoint that was least loaded in them.
     */
    private Optional<EndpointRecord> chooseSampled(
            List<EndpointRecord> candidates,
            Set<EndpointId> avoided,
            ToDoubleFunction<EndpointId> maxCallsPerSlot,
            double cost) {
        List<EndpointRecord> untried = candidates.stream()
                .filter(candidate -> !avoided.contains(candidate.id()))
                .toList();
        if (untried.size() > SAMPLE_SIZE && instances.getAsInt() >= MIN_INSTANCES_FOR_SAMPLING) {
            List<EndpointRecord> sample = random.ints(SAMPLE_SIZE, 0, untried.size())
                    .mapToObj(untried::get)
                    .toList();
            Optional<EndpointRecord> sampled = choice.choose(sample, avoided, maxCallsPerSlot, cost);
            if (sampled.isPresent()) {
                return sampled;
            }
        }
        return choice.choose(candidates, avoided, maxCallsPerSlot, cost);
    }

    private boolean isHomePreferred(List<EndpointRecord> candidates) {
        if (settings.crossDomainCost() <= 0 || candidates.isEmpty()) {
            return false;
        }
        long homeEndpoints = candidates.stream()
                .filter(candidate -> candidate.domain().equals(home))
                .count();
        return homeEndpoints > 0 && homeEndpoints >= settings.minHomeEndpoints();
    }

    private FailureDomain domainForCall(ServiceState state) {
        if (random.nextDouble() >= state.policy.share()) {
            return home;
        }
        return state.policy.destination(state.domainLoads, random.nextDouble()).orElse(home);
    }

    private Optional<EndpointRecord> choose(
            FailureDomain domain,
            List<EndpointRecord> candidates,
            Set<EndpointId> avoided,
            ToDoubleFunction<EndpointId> maxCallsPerSlot,
            double cost) {
        List<EndpointRecord> inDomain = candidates.stream()
                .filter(candidate ->
                        candidate.domain().equals(domain) && !avoided.contains(candidate.id()) && !isFailing(candidate))
                .toList();
        return chooseSampled(inDomain, avoided, maxCallsPerSlot, cost);
    }

    private boolean isFailing(EndpointRecord endpoint) {
        return loads.failureWeight(endpoint.id()) >= FAILING_WEIGHT;
    }

    private ServiceState updatedState(
            String service,
            List<EndpointRecord> candidates,
            ToDoubleFunction<EndpointId> maxCallsPerSlot,
            double cost) {
        ServiceState state =
                states.computeIfAbsent(service, each -> new ServiceState(new SpilloverPolicy(clock, home)));
        long nowMillis = clock.monotonicMillis();
        if (state.updatedMillis == Long.MIN_VALUE || nowMillis - state.updatedMillis >= UPDATE_INTERVAL_MILLIS) {
            state.domainLoads = domainLoads(candidates, maxCallsPerSlot);
            double share = state.policy.update(state.domainLoads, cost);
            state.updatedMillis = nowMillis;
            SpilloverExtent extent = state.extent.next(share);
            if (extent != state.extent) {
                state.extent = extent;
                double utilization =
                        state.domainLoads.getOrDefault(home, DomainLoad.NONE).utilization();
                onChanged.accept(new SpilloverChange(service, extent, utilization));
            }
        }
        return state;
    }

    private Map<FailureDomain, DomainLoad> domainLoads(
            List<EndpointRecord> candidates, ToDoubleFunction<EndpointId> maxCallsPerSlot) {
        Map<FailureDomain, DomainLoad> result = new TreeMap<>();
        for (EndpointRecord candidate : candidates) {
            // Each call at a slow endpoint occupies it as much as several calls would elsewhere.
            double capacity = isFailing(candidate)
                    ? 0
                    : candidate.slots()
                            * maxCallsPerSlot.applyAsDouble(candidate.id())
                            / loads.slowdown(candidate.id());
            result.merge(
                    candidate.domain(), new DomainLoad(loads.openCalls(candidate.id()), capacity), DomainLoad::plus);
        }
        return result;
    }
}
