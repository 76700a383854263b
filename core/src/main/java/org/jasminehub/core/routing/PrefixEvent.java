package org.jasminehub.core.routing;

import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.internal.Checks;

/**
 * An event with which an engine reports that it cached or evicted a prompt prefix.
 *
 * @param endpoint the endpoint of the engine
 * @param sequence the sequence number of the event at its engine; a gap means that events were lost
 * @param hash the hash of the prefix
 * @param cached whether the prefix was cached; false if it was evicted
 * @param ageMillis the age of the event
 */
public record PrefixEvent(EndpointId endpoint, long sequence, long hash, boolean cached, long ageMillis) {
    /** Creates an event; {@code ageMillis} must not be negative. */
    public PrefixEvent {
        Checks.notNegative("ageMillis", ageMillis);
    }
}
