package org.jasminehub.core.serving;

import org.jasminehub.core.internal.Checks;
import org.jspecify.annotations.Nullable;

/**
 * A service of the gateway configuration.
 *
 * @param name the name of the service
 * @param connectionLimit the number of connections that an endpoint of the service accepts from all gateways together
 * @param engine the performance of the model engines, null for a service without engines
 * @param coldStart how the endpoints of the service start, null if they are never cold
 */
public record ServiceProfile(
        String name,
        int connectionLimit,
        @Nullable EngineProfile engine,
        @Nullable ColdStart coldStart) {
    /** Creates a profile; {@code connectionLimit} must be positive. */
    public ServiceProfile {
        Checks.notBlank("service", name);
        Checks.positive("connectionLimit", connectionLimit);
    }
}
