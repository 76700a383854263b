package org.jasminehub.gateway.call;

import org.jasminehub.core.serving.ServiceProfile;
import org.jspecify.annotations.Nullable;

/** Limits the open calls per slot of an endpoint. */
@FunctionalInterface
public interface ConcurrencyLimits {
    /** Returns the limit for endpoints of {@code service}; null stands for a service without a profile. */
    double maxCallsPerSlot(@Nullable ServiceProfile service);
}
