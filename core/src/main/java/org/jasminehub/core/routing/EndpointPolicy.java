package org.jasminehub.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the endpoint for a request.
 *
 * <p>Implementations may be stateful and must then document their thread safety.
 */
@FunctionalInterface
public interface EndpointPolicy {
    /** Returns the choice among {@code candidates}, or empty if none of them can be used. */
    Optional<EndpointChoice> choose(RoutingRequest request, List<EndpointState> candidates);
}
