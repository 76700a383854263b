package org.jasminehub.core.serving;

import org.jasminehub.core.internal.Checks;
import org.jspecify.annotations.Nullable;

/**
 * One service of the configuration.
 *
 * @param name its name
 * @param connectionLimit connections that one of its endpoints takes from all gateways together
 * @param engine how fast its model engines work, null for a plain service
 */
public record ServiceProfile(
        String name, int connectionLimit, @Nullable EngineProfile engine) {
    /** Creates a profile; {@code connectionLimit} must be positive. */
    public ServiceProfile {
        Checks.notBlank("service", name);
        Checks.positive("connectionLimit", connectionLimit);
    }
}
