package org.jasminehub.core.answer;

import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.membership.MemberState;
import org.jspecify.annotations.Nullable;

/**
 * What an entry instance knows about whether an endpoint is allowed to serve requests.
 *
 * @param id the endpoint
 * @param lastContactMillis the time of the last direct message from its agent, by the monotonic clock
 * @param reportedState the state that its agent last reported
 * @param listedState the state in the platform's last instance list, or null if the list did not contain it
 * @param leaseUntilMillis when its lease expires, by the monotonic clock; {@link Long#MAX_VALUE} if it needs no lease
 */
public record EndpointStatus(
        EndpointId id,
        long lastContactMillis,
        MemberState reportedState,
        @Nullable MemberState listedState,
        long leaseUntilMillis) {}
