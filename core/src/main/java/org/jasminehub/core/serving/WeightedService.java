package org.jasminehub.core.serving;

import org.jasminehub.core.internal.Checks;

/** A service that takes a part of a route's calls; the parts of a route are relative to their sum. */
public record WeightedService(String service, double weight) {
    /** Creates a part; {@code weight} must not be negative. */
    public WeightedService {
        Checks.notBlank("service", service);
        Checks.inRange("weight", weight, 0, Double.MAX_VALUE);
    }
}
