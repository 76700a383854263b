package org.jasminehub.core.balance;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointRecord;

/**
 * Chooses the endpoint with the least open calls for its slots.
 *
 * <p>Load pattern: endpoints of equal build, some of them slow or failing without saying so. Failures of late count like
 * open calls, so that a failing endpoint gets little and a recovered one comes back by itself. Among equals the nearest
 * is taken, which saves bytes between failure domains.
 */
public final class EndpointChoicePolicy {
    /** One failure of late weighs as much as a whole endpoint's slots in use. */
    private static final double FAILURE_LOAD = 1.0;

    /** Less than one call in any endpoint's slots: distance decides only among equals. */
    private static final double DISTANCE_LOAD = 0.04;

    /** Breaks ties between instances that know the same loads; below the weight of distance. */
    private static final double JITTER_LOAD = 0.02;

    private final EndpointLoads loads;
    private final FailureDomain home;
    private final RandomGenerator random;

    /** Creates a policy of an instance in {@code home}. */
    public EndpointChoicePolicy(EndpointLoads loads, FailureDomain home, RandomGenerator random) {
        this.loads = loads;
        this.home = home;
        this.random = random;
    }

    /**
     * Returns the best endpoint, empty where each one has {@code maxCallsPerSlot} calls for each slot or more.
     *
     * @param avoided endpoints that failed this call already; they are taken only if no other is left
     */
    public Optional<EndpointRecord> choose(
            List<EndpointRecord> candidates, Set<EndpointId> avoided, double maxCallsPerSlot) {
        Optional<EndpointRecord> fresh = best(
                candidates.stream()
                        .filter(candidate -> !avoided.contains(candidate.id()))
                        .toList(),
                maxCallsPerSlot);
        return fresh.isPresent() || avoided.isEmpty() ? fresh : best(candidates, maxCallsPerSlot);
    }

    private Optional<EndpointRecord> best(List<EndpointRecord> candidates, double maxCallsPerSlot) {
        EndpointRecord best = null;
        double bestScore = Double.MAX_VALUE;
        for (EndpointRecord candidate : candidates) {
            // A slow endpoint's calls take as much of it as several would elsewhere, this one included.
            double pace = loads.pace(candidate.id());
            double open = loads.openCalls(candidate.id());
            double load = open * pace / candidate.slots();
            if (open >= candidate.slots() * maxCallsPerSlot
                    || (open + 1) * pace > candidate.slots() * maxCallsPerSlot) {
                continue;
            }
            double score = load
                    + FAILURE_LOAD * loads.failureWeight(candidate.id())
                    + (candidate.domain().equals(home) ? 0 : DISTANCE_LOAD)
                    + JITTER_LOAD * random.nextDouble();
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }
}
