package org.jasminehub.core.answer;

import java.util.List;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.time.Clock;

/**
 * Chooses the endpoints that may answer a read that must show the present state.
 *
 * <p>An endpoint is in doubt when its agent has been silent, its lease may have lapsed, or its agent or the list says
 * that it leaves or the list does not show it. An outage of the list alone puts nobody in doubt.
 *
 * <pre>{@code
 * List<EndpointId> certain = new FreshReadPolicy(2_000, 200, clock).certain(standings);
 * }</pre>
 *
 * <p>Immutable.
 */
public final class FreshReadPolicy {
    private final long maxSilenceMillis;
    private final long leaseMarginMillis;
    private final Clock clock;

    /** Creates a policy; a lease counts as lapsed {@code leaseMarginMillis} before its end. */
    public FreshReadPolicy(long maxSilenceMillis, long leaseMarginMillis, Clock clock) {
        this.maxSilenceMillis = Checks.positive("maxSilenceMillis", maxSilenceMillis);
        this.leaseMarginMillis = Checks.notNegative("leaseMarginMillis", leaseMarginMillis);
        this.clock = clock;
    }

    /** Returns the endpoints that are beyond doubt, in the order given. */
    public List<EndpointId> certain(List<EndpointStanding> standings) {
        return standings.stream()
                .filter(this::isCertain)
                .map(EndpointStanding::id)
                .toList();
    }

    /** Tells whether the endpoint is beyond doubt. */
    public boolean isCertain(EndpointStanding standing) {
        long nowMillis = clock.monotonicMillis();
        boolean isHeard = nowMillis - standing.heardMillis() <= maxSilenceMillis;
        boolean isLeased = standing.leaseUntilMillis() - leaseMarginMillis > nowMillis;
        boolean isLive = standing.ownState() == MemberState.LIVE && standing.listedState() == MemberState.LIVE;
        return isHeard && isLeased && isLive;
    }
}
