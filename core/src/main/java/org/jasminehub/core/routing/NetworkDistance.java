package org.jasminehub.core.routing;

import org.jasminehub.core.identity.FailureDomain;

/** Tells how far failure domains are apart. */
@FunctionalInterface
public interface NetworkDistance {
    /** Returns the one-way delay between two failure domains. */
    double oneWayMillis(FailureDomain from, FailureDomain to);

    /** Returns distances of 0 within a failure domain and {@code acrossMillis} one way between any two. */
    static NetworkDistance uniform(double acrossMillis) {
        return (from, to) -> from.equals(to) ? 0 : acrossMillis;
    }
}
