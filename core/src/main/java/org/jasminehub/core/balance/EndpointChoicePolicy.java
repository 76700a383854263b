package org.jasminehub.core.balance;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointRecord;

/**
 * Chooses the endpoint with the fewest open calls relative to its slots.
 *
 * <p>Endpoints have the same capacity, but some may be slow or failing without reporting it. Recent failures count like
 * open calls, so a failing endpoint receives few calls and a recovered one receives calls again without intervention.
 * Among equally loaded endpoints, one in the local failure domain is preferred to save traffic between domains.
 */
public final class EndpointChoicePolicy {
    /** A recent failure counts as much as having all slots of the endpoint in use. */
    private static final double FAILURE_LOAD = 1.0;

    /** Smaller than the load of one call at any endpoint, so distance only decides between equally loaded endpoints. */
    private static final double DISTANCE_LOAD = 0.04;

    /** Random tie-break between instances that know the same loads; smaller than the weight of distance. */
    private static final double JITTER_LOAD = 0.02;

    private final EndpointLoads loads;
    private final FailureDomain localDomain;
    private final RandomGenerator random;

    /** Creates a policy for an instance in the failure domain {@code localDomain}. */
    public EndpointChoicePolicy(EndpointLoads loads, FailureDomain localDomain, RandomGenerator random) {
        this.loads = loads;
        this.localDomain = localDomain;
        this.random = random;
    }

    /**
     * Returns the least loaded endpoint, or empty if another call would take every one above its limit.
     *
     * @param avoided endpoints that already failed this call; they are chosen only if no other endpoint has room
     * @param maxCallsPerSlot the limit of an endpoint
     */
    public Optional<EndpointRecord> choose(
            List<EndpointRecord> candidates, Set<EndpointId> avoided, ToDoubleFunction<EndpointId> maxCallsPerSlot) {
        return choose(candidates, avoided, maxCallsPerSlot, DISTANCE_LOAD);
    }

    /**
     * Returns the least loaded endpoint, or empty if another call would take every one above its limit.
     *
     * @param avoided endpoints that already failed this call; they are chosen only if no other endpoint has room
     * @param maxCallsPerSlot the limit of an endpoint
     * @param distanceLoad the load that counts in addition for endpoints in other failure domains
     */
    public Optional<EndpointRecord> choose(
            List<EndpointRecord> candidates,
            Set<EndpointId> avoided,
            ToDoubleFunction<EndpointId> maxCallsPerSlot,
            double distanceLoad) {
        Optional<EndpointRecord> untried = best(
                candidates.stream()
                        .filter(candidate -> !avoided.contains(candidate.id()))
                        .toList(),
                maxCallsPerSlot,
                distanceLoad);
        return untried.isPresent() || avoided.isEmpty() ? untried : best(candidates, maxCallsPerSlot, distanceLoad);
    }

    private Optional<EndpointRecord> best(
            List<EndpointRecord> candidates, ToDoubleFunction<EndpointId> maxCallsPerSlot, double distanceLoad) {
        EndpointRecord best = null;
        double bestScore = Double.MAX_VALUE;
        for (EndpointRecord candidate : candidates) {
            // Each call at a slow endpoint, including this one, occupies it as much as several calls would elsewhere.
            double slowdown = loads.slowdown(candidate.id());
            double open = loads.openCalls(candidate.id());
            double load = open * slowdown / candidate.slots();
            double maxCalls = candidate.slots() * maxCallsPerSlot.applyAsDouble(candidate.id());
            if (open >= maxCalls || (open + 1) * slowdown > maxCalls) {
                continue;
            }
            double score = load
                    + FAILURE_LOAD * loads.failureWeight(candidate.id())
                    + (candidate.domain().equals(localDomain) ? 0 : distanceLoad)
                    + JITTER_LOAD * random.nextDouble();
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }
}
