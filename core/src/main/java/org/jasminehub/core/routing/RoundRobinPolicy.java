package org.jasminehub.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Chooses the endpoints that accept work in turn.
 *
 * <p>Serves as a baseline for comparison. Thread-safe.
 */
public final class RoundRobinPolicy implements EndpointPolicy {
    private final AtomicLong next = new AtomicLong();

    @Override
    public Optional<EndpointChoice> choose(RoutingRequest request, List<EndpointState> candidates) {
        List<EndpointState> accepting =
                candidates.stream().filter(state -> state.load().accepting()).toList();
        if (accepting.isEmpty()) {
            return Optional.empty();
        }
        int index = (int) (next.getAndIncrement() % accepting.size());
        return Optional.of(new EndpointChoice(accepting.get(index).id(), 0, accepting.size(), "round-robin"));
    }
}
