package org.jasminehub.core.routing;

import org.jasminehub.core.identity.FailureDomain;

/** The network delay between failure domains. */
@FunctionalInterface
public interface NetworkDistance {
    /** Returns the one-way delay between two failure domains in milliseconds. */
    double oneWayMillis(FailureDomain from, FailureDomain to);

    /** Returns a delay of 0 within a failure domain and of {@code acrossMillis} one way between any two domains. */
    static NetworkDistance uniform(double acrossMillis) {
        return (from, to) -> from.equals(to) ? 0 : acrossMillis;
    }
}
