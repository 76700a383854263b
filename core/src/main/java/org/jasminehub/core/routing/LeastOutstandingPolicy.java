package org.jasminehub.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the endpoint with the fewest unfinished requests of this entry instance.
 *
 * <p>Serves as a baseline for comparison. Immutable.
 */
public final class LeastOutstandingPolicy implements EndpointPolicy {
    @Override
    public Optional<EndpointChoice> choose(RoutingRequest request, List<EndpointState> candidates) {
        List<EndpointState> accepting =
                candidates.stream().filter(state -> state.load().accepting()).toList();
        return accepting.stream()
                .min(Comparator.comparingInt(EndpointState::outstandingRequests))
                .map(state -> new EndpointChoice(state.id(), 0, accepting.size(), "least-outstanding"));
    }
}
