package org.jasminehub.core.locality;

import java.util.Map;
import java.util.Optional;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.time.Clock;

/**
 * Determines the share of a service's calls that leave the local failure domain, and the domains that they go to.
 *
 * <p>Load pattern: callers move from one domain to another, or demand in a domain swings, while endpoints stay where they
 * are. Keeping all calls in their domain makes them wait while other domains have free endpoints; spreading them over all
 * domains pays for traffic that saves no waiting.
 *
 * <p>All instances of a domain see the same loads apart from the age of the statuses they exchange, so they come to about
 * the same share, and each call is drawn at random by it. The share rises linearly between the utilization at which
 * leaving begins and a full domain, and follows a change with a delay of about two statuses, so instances neither move
 * all calls at once nor alternate.
 *
 * <p>Not thread-safe.
 */
final class SpilloverPolicy {
    /**
     * Utilization of the local domain up to which no call leaves. Each call makes a pass of its engine's group longer, so
     * a fuller domain is slower for all its calls well before its slots are used up.
     */
    static final double MAX_HOME_UTILIZATION = 0.3;

    /** Keeps the slope finite if the other domains are almost full. */
    private static final double MAX_START = 0.98;

    /** Time constant of the share: about two statuses at their longest interval. */
    private static final double SMOOTHING_MILLIS = 500;

    private final Clock clock;
    private final FailureDomain home;
    private double share;
    private long updatedMillis;

    SpilloverPolicy(Clock clock, FailureDomain home) {
        this.clock = clock;
        this.home = home;
        this.updatedMillis = clock.monotonicMillis();
    }

    /**
     * Follows the loads of all domains and returns the share of calls to send out.
     *
     * @param cost the difference in utilization that leaving the domain must save at least
     */
    double update(Map<FailureDomain, DomainLoad> loads, double cost) {
        long nowMillis = clock.monotonicMillis();
        double weight = 1 - Math.exp(-(nowMillis - updatedMillis) / SMOOTHING_MILLIS);
        share += (target(loads, cost) - share) * weight;
        updatedMillis = nowMillis;
        return share;
    }

    double share() {
        return share;
    }

    private double target(Map<FailureDomain, DomainLoad> loads, double cost) {
        DomainLoad elsewhere = loads.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(home))
                .map(Map.Entry::getValue)
                .reduce(DomainLoad.NONE, DomainLoad::plus);
        double homeUtilization = loads.getOrDefault(home, DomainLoad.NONE).utilization();
        double start = Math.min(MAX_START, Math.max(MAX_HOME_UTILIZATION, elsewhere.utilization() + cost));
        if (homeUtilization <= start || elsewhere.utilization() >= 1) {
            return 0;
        }
        return Math.min(1, (homeUtilization - start) / (1 - start));
    }

    /**
     * Returns the domain for a call that leaves the local one, in proportion to the free capacity, or empty if no other
     * domain has any.
     *
     * @param position the position of the call within the free capacity, from 0 (inclusive) to 1 (exclusive)
     */
    Optional<FailureDomain> destination(Map<FailureDomain, DomainLoad> loads, double position) {
        Checks.inRange("position", position, 0, 1);
        double total = loads.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(home))
                .mapToDouble(entry -> entry.getValue().freeCalls(1))
                .sum();
        double remaining = position * total;
        for (Map.Entry<FailureDomain, DomainLoad> entry : loads.entrySet()) {
            double freeCalls =
                    entry.getKey().equals(home) ? 0 : entry.getValue().freeCalls(1);
            remaining -= freeCalls;
            if (freeCalls > 0 && remaining < 0) {
                return Optional.of(entry.getKey());
            }
        }
        return Optional.empty();
    }
}
