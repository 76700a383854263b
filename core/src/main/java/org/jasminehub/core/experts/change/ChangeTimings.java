package org.jasminehub.core.experts.change;

import org.jasminehub.core.internal.Checks;

/**
 * Time limits for the phases of a map change.
 *
 * @param loadTimeoutMillis the time limit for loading experts; the group keeps running steps meanwhile
 * @param armTimeoutMillis the time limit for arming every rank
 * @param commitTimeoutMillis the time limit for the log to confirm the commit
 * @param roundMillis the time in which every reachable rank receives an order and its reply arrives
 */
public record ChangeTimings(long loadTimeoutMillis, long armTimeoutMillis, long commitTimeoutMillis, long roundMillis) {
    /** The number of rounds that a holder needs to complete or abort an open change if it reaches every rank. */
    private static final int RELEASE_ROUNDS = 4;

    /** Creates timings; all values must be positive. */
    public ChangeTimings {
        Checks.positive("loadTimeoutMillis", loadTimeoutMillis);
        Checks.positive("armTimeoutMillis", armTimeoutMillis);
        Checks.positive("commitTimeoutMillis", commitTimeoutMillis);
        Checks.positive("roundMillis", roundMillis);
    }

    /** Returns the time limit of {@code phase}, or {@link Long#MAX_VALUE} if it has none. */
    public long timeoutMillis(ChangePhase phase) {
        return switch (phase) {
            case LOADING -> loadTimeoutMillis;
            case ARMING -> armTimeoutMillis;
            case COMMITTING -> commitTimeoutMillis;
            default -> Long.MAX_VALUE;
        };
    }

    /** Returns the maximum time that a group without missing ranks is stopped while its holder reaches all ranks. */
    public long maxHoldMillis() {
        return armTimeoutMillis + commitTimeoutMillis + RELEASE_ROUNDS * roundMillis;
    }

    /** Returns how many steps ahead the switch must be scheduled so that the decision normally arrives in time. */
    public long marginSteps(double stepMillis) {
        Checks.that(stepMillis > 0, "stepMillis", stepMillis, "a value above 0");
        return 1 + (long) Math.ceil((commitTimeoutMillis + 2 * roundMillis) / stepMillis);
    }
}
