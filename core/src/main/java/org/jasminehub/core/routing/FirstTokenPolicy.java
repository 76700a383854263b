package org.jasminehub.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jasminehub.core.internal.Checks;

/**
 * Selects a few endpoints at random and chooses the one with the shortest estimated time to the first token.
 *
 * <p>The endpoint with the longest cached prefix is always compared as well. Sampling only a few endpoints prevents
 * entry instances that see the same outdated report from all choosing the same endpoint.
 *
 * <pre>{@code
 * EndpointPolicy policy = new FirstTokenPolicy(estimate, 3, random);
 * Optional<EndpointChoice> choice = policy.choose(request, states);
 * }</pre>
 *
 * <p>Thread-safe if the random generator is.
 */
public final class FirstTokenPolicy implements EndpointPolicy {
    private final FirstTokenEstimate estimate;
    private final int sampleSize;
    private final EndpointSampler sampler;

    /** Creates a policy that samples {@code sampleSize} endpoints, at least 1. */
    public FirstTokenPolicy(FirstTokenEstimate estimate, int sampleSize, RandomGenerator random) {
        this.estimate = estimate;
        this.sampleSize = (int) Checks.positive("sampleSize", sampleSize);
        this.sampler = new EndpointSampler(random);
    }

    @Override
    public Optional<EndpointChoice> choose(RoutingRequest request, List<EndpointState> candidates) {
        List<EndpointState> accepting =
                candidates.stream().filter(state -> state.load().accepting()).toList();
        if (accepting.isEmpty()) {
            return Optional.empty();
        }
        FleetMedian fleet = FleetMedian.of(accepting);
        List<EndpointState> compared = withBestPrefix(sampler.sample(accepting, sampleSize), accepting);
        return compared.stream()
                .map(state -> new EndpointChoice(
                        state.id(), estimate.millis(request, state, fleet), compared.size(), "first-token"))
                .min(Comparator.comparingDouble(EndpointChoice::estimateMillis));
    }

    private static List<EndpointState> withBestPrefix(List<EndpointState> sample, List<EndpointState> accepting) {
        Optional<EndpointState> best = accepting.stream()
                .filter(state -> state.prefixHitTokens() > 0)
                .max(Comparator.comparingLong(EndpointState::prefixHitTokens));
        if (best.isEmpty() || sample.contains(best.get())) {
            return sample;
        }
        List<EndpointState> extended = new ArrayList<>(sample);
        extended.add(best.get());
        return extended;
    }
}
