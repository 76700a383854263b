package org.jasminehub.core.ratelimit;

import java.util.Optional;
import org.jasminehub.core.serving.EndpointIncarnation;

/** What an instance knows about the other instances, as far as it matters for permits. */
public interface IssuerView {
    /** Returns the instance that issues the permits for {@code endpoint}, or empty if there is none. */
    Optional<String> issuer(EndpointIncarnation endpoint);

    /** Returns the share of the registered instances from which this one hears, itself included, from 0 to 1. */
    double reachableShare();
}
