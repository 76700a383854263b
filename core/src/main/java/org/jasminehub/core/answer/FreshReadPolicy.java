package org.jasminehub.core.answer;

import java.util.List;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.time.Clock;

/**
 * Selects the endpoints that may serve a read that must return the current state.
 *
 * <p>An endpoint is confirmed if its agent has been in contact recently, its lease is valid, and both its agent and the
 * platform's instance list report it as live. The last list that was read counts, so an outage of the list alone
 * excludes no endpoint.
 *
 * <pre>{@code
 * List<EndpointId> confirmed = new FreshReadPolicy(2_000, 200, clock).confirmed(statuses);
 * }</pre>
 *
 * <p>Immutable.
 */
public final class FreshReadPolicy {
    private final long maxSilenceMillis;
    private final long leaseMarginMillis;
    private final Clock clock;

    /**
     * Creates a policy.
     *
     * @param maxSilenceMillis how long ago the last contact with an agent may be
     * @param leaseMarginMillis how long before its end a lease is treated as expired
     * @param clock the clock of contact times and leases
     */
    public FreshReadPolicy(long maxSilenceMillis, long leaseMarginMillis, Clock clock) {
        this.maxSilenceMillis = Checks.positive("maxSilenceMillis", maxSilenceMillis);
        this.leaseMarginMillis = Checks.notNegative("leaseMarginMillis", leaseMarginMillis);
        this.clock = clock;
    }

    /** Returns the confirmed endpoints, in the given order. */
    public List<EndpointId> confirmed(List<EndpointStatus> statuses) {
        return statuses.stream()
                .filter(this::isConfirmed)
                .map(EndpointStatus::id)
                .toList();
    }

    /** Returns whether the endpoint is confirmed. */
    public boolean isConfirmed(EndpointStatus status) {
        long nowMillis = clock.monotonicMillis();
        boolean hasRecentContact = nowMillis - status.lastContactMillis() <= maxSilenceMillis;
        boolean isLeased = status.leaseUntilMillis() - leaseMarginMillis > nowMillis;
        boolean isLive = status.reportedState() == MemberState.LIVE && status.listedState() == MemberState.LIVE;
        return hasRecentContact && isLeased && isLive;
    }
}
