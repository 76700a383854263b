package org.jasminehub.gateway.call;

import org.jasminehub.core.serving.ServiceProfile;
import org.jspecify.annotations.Nullable;

/** How many calls an endpoint of a service may have open for each of its slots. */
@FunctionalInterface
public interface ConcurrencyLimits {
    /** Returns the limit for endpoints of {@code service}; a null profile is a plain service. */
    double maxCallsPerSlot(@Nullable ServiceProfile service);
}
