package org.jasminehub.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Selects two endpoints at random and chooses the one that reported less load.
 *
 * <p>Serves as a baseline for comparison. Thread-safe if the random generator is.
 */
public final class PowerOfTwoPolicy implements EndpointPolicy {
    private static final int SAMPLE_SIZE = 2;

    private final EndpointSampler sampler;

    /** Creates the policy. */
    public PowerOfTwoPolicy(RandomGenerator random) {
        this.sampler = new EndpointSampler(random);
    }

    @Override
    public Optional<EndpointChoice> choose(RoutingRequest request, List<EndpointState> candidates) {
        List<EndpointState> accepting =
                candidates.stream().filter(state -> state.load().accepting()).toList();
        return sampler.sample(accepting, SAMPLE_SIZE).stream()
                .min(Comparator.<EndpointState>comparingLong(
                                state -> state.load().queuedTokens())
                        .thenComparingInt(state -> state.load().runningRequests()))
                .map(state -> new EndpointChoice(state.id(), 0, SAMPLE_SIZE, "power-of-two"));
    }
}
