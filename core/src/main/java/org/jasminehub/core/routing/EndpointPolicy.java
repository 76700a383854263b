package org.jasminehub.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the endpoint for a request.
 *
 * <p>Implementations may keep state of their own and must then say how they are shared between threads.
 */
@FunctionalInterface
public interface EndpointPolicy {
    /** Returns the choice among {@code candidates}, or nothing where none may be used. */
    Optional<EndpointChoice> choose(RoutingRequest request, List<EndpointState> candidates);
}
