package org.jasminehub.core.routing;

import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.internal.Checks;

/**
 * What an engine says of one beginning of prompts in its cache.
 *
 * @param endpoint the engine's endpoint
 * @param sequence counts the engine's events; a gap means that some were lost
 * @param hash the hash of the beginning
 * @param cached whether it was stored, or evicted
 * @param ageMillis how long ago that was
 */
public record PrefixEvent(EndpointId endpoint, long sequence, long hash, boolean cached, long ageMillis) {
    /** Creates a checked event. */
    public PrefixEvent {
        Checks.notNegative("ageMillis", ageMillis);
    }
}
