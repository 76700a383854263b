package org.jasminehub.core.serving;

import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.internal.Checks;
import org.jspecify.annotations.Nullable;

/**
 * The latest registration of an endpoint.
 *
 * @param id the name of the endpoint; most restarts assign a new one
 * @param startedWallMillis when the endpoint started, by the wall clock, 0 if not stated; a restart under the same id counts as a
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
    /** Far more than any endpoint runs; the sum over all endpoints of the largest deployment still fits into an int. */
    public static final int MAX_SLOTS = 65_536;

    /** The end of the year 9999; of two endpoints at one address, the one that started last replaces the other. */
    public static final long MAX_STARTED_WALL_MILLIS = 253_402_300_799_999L;

    /** Creates a record; {@code slots} must be from 1 to {@link #MAX_SLOTS}. */
    public EndpointRecord {
        Checks.notBlank("service", service);
        Checks.notBlank("host", host);
        Checks.inRange("port", port, 1, 65_535);
        Checks.inRange("slots", slots, 1, MAX_SLOTS);
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
