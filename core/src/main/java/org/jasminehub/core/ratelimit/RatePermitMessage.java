package org.jasminehub.core.ratelimit;

import org.jasminehub.core.serving.EndpointIncarnation;

/** A message between an instance and the issuer of the permits for an endpoint. */
public sealed interface RatePermitMessage {
    /** Returns the endpoint that the permits apply to. */
    EndpointIncarnation endpoint();

    /**
     * Asks for a permit.
     *
     * @param requestsPerSecond the limit as known to the sender
     * @param statedAgeMillis how long ago the endpoint stated this limit
     */
    record Request(EndpointIncarnation endpoint, double requestsPerSecond, long statedAgeMillis)
            implements RatePermitMessage {}

    /** Allows the receiver to send one request. */
    record Permit(EndpointIncarnation endpoint) implements RatePermitMessage {}

    /**
     * Tells that the receiver has to wait for its permit.
     *
     * @param waitMillis the time after which the permit is expected
     */
    record Queued(EndpointIncarnation endpoint, long waitMillis) implements RatePermitMessage {}

    /** Gives back a permit that was not used. */
    record Return(EndpointIncarnation endpoint) implements RatePermitMessage {}
}
