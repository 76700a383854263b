package org.jasminehub.core.serving;

import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.internal.Checks;
import org.jspecify.annotations.Nullable;

/**
 * What an endpoint last registered about itself.
 *
 * @param id its name, new with most starts
 * @param startedWallMillis when it started; another start under the same name is another endpoint
 * @param service the service it belongs to
 * @param host its IP address
 * @param port its port
 * @param domain its failure domain
 * @param slots requests that it runs at once
 * @param isDraining whether it takes no more work soon
 * @param seat its place in a group, null outside groups
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

    /** Returns whether both are the same start of the same endpoint. */
    public boolean isSameIncarnation(EndpointRecord other) {
        return id.equals(other.id) && startedWallMillis == other.startedWallMillis;
    }
}
