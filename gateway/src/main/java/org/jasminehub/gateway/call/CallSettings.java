package org.jasminehub.gateway.call;

import org.jasminehub.core.internal.Checks;

/**
 * What bounds calls.
 *
 * @param maxConfigurationAgeMillis the oldest knowledge of the configuration under which keys are honoured
 */
public record CallSettings(long maxConfigurationAgeMillis) {
    /** Creates settings. */
    public CallSettings {
        Checks.positive("maxConfigurationAgeMillis", maxConfigurationAgeMillis);
    }
}
