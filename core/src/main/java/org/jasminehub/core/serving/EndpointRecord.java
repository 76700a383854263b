package org.jasminehub.core.serving;

import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.internal.Checks;
import org.jspecify.annotations.Nullable;

/**
 * The latest registration of an endpoint.
 *
 * @param id the name of the endpoint; most restarts assign a new one
 * @param startedWallMillis when the endpoint started, by the wall clock; a restart under the same id counts as a
 *     different endpoint
 * @param service the service that the endpoint belongs to
 * @param host the IP address of the endpoint
 * @param port the port of the endpoint
 * @param domain the failure domain of the endpoint
 * @param slots the number of requests that the endpoint can run concurrently
 * @param isDraining whether the endpoint is shutting down and accepts no new work
 * @param seat the endpoint's membership of a group, null if it belongs to none
 */
public record EndpointRecord(
        EndpointId id,
        long startedWallMillis,
        String service,
        String host,
        int port,
        FailureDomain domain,
        int slots,
        boolean isDraining,
        @Nullable GroupSeat seat) {
    /** Creates a record; {@code slots} must be positive. */
    public EndpointRecord {
        Checks.notBlank("service", service);
        Checks.notBlank("host", host);
        Checks.inRange("port", port, 1, 65_535);
        Checks.positive("slots", slots);
    }

    /** Returns the run of the endpoint that this record describes. */
    public EndpointIncarnation incarnation() {
        return new EndpointIncarnation(id, startedWallMillis);
    }

    /** Returns whether both records describe the same run of the same endpoint. */
    public boolean isSameIncarnation(EndpointRecord other) {
        return id.equals(other.id) && startedWallMillis == other.startedWallMillis;
    }
}
