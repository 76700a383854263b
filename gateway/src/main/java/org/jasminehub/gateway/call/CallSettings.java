package org.jasminehub.gateway.call;

import org.jasminehub.core.internal.Checks;

/**
 * Settings for the handling of calls.
 *
 * @param maxConfigurationAgeMillis the configuration age from which API keys are no longer accepted
 */
public record CallSettings(long maxConfigurationAgeMillis) {
    /** Creates settings. */
    public CallSettings {
        Checks.positive("maxConfigurationAgeMillis", maxConfigurationAgeMillis);
    }
}
