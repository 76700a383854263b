package org.jasminehub.core.serving;

import org.jasminehub.core.internal.Checks;

/** A service with its weight in a route; weights are relative to the sum of all weights of the route. */
public record WeightedService(String service, double weight) {
    /** Creates a weighted service; {@code weight} must not be negative. */
    public WeightedService {
        Checks.notBlank("service", service);
        Checks.inRange("weight", weight, 0, Double.MAX_VALUE);
    }
}
