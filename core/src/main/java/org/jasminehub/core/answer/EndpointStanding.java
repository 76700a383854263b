package org.jasminehub.core.answer;

import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.membership.MemberState;
import org.jspecify.annotations.Nullable;

/**
 * What an entry instance knows of an endpoint's right to answer.
 *
 * @param id the endpoint
 * @param heardMillis when its agent was last heard directly, by the monotonic clock
 * @param ownState what its agent last said of itself
 * @param listedState what the platform's list last said of it, or null where the list did not show it
 * @param leaseUntilMillis until when its lease holds by the monotonic clock; {@link Long#MAX_VALUE} where it needs none
 */
public record EndpointStanding(
        EndpointId id,
        long heardMillis,
        MemberState ownState,
        @Nullable MemberState listedState,
        long leaseUntilMillis) {}
