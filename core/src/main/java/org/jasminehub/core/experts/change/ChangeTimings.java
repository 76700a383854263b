package org.jasminehub.core.experts.change;

import org.jasminehub.core.internal.Checks;

/**
 * How long the phases of a change may take.
 *
 * @param loadTimeoutMillis the time to load experts; nothing waits meanwhile
 * @param armTimeoutMillis the time until every rank must be armed
 * @param commitTimeoutMillis the time until the log must have answered
 * @param roundMillis the time in which every reachable rank has had an order and its answer is back
 */
public record ChangeTimings(long loadTimeoutMillis, long armTimeoutMillis, long commitTimeoutMillis, long roundMillis) {
    /** Rounds in which a holder that reaches every rank ends whatever is open. */
    private static final int RELEASE_ROUNDS = 4;

    /** Creates checked timings. */
    public ChangeTimings {
        Checks.positive("loadTimeoutMillis", loadTimeoutMillis);
        Checks.positive("armTimeoutMillis", armTimeoutMillis);
        Checks.positive("commitTimeoutMillis", commitTimeoutMillis);
        Checks.positive("roundMillis", roundMillis);
    }

    /** Returns when {@code phase} times out, counted from its start, or {@link Long#MAX_VALUE} for never. */
    public long timeoutMillis(ChangePhase phase) {
        return switch (phase) {
            case LOADING -> loadTimeoutMillis;
            case ARMING -> armTimeoutMillis;
            case COMMITTING -> commitTimeoutMillis;
            default -> Long.MAX_VALUE;
        };
    }

    /** Returns the longest time that a whole group is held while its holder reaches every rank. */
    public long holdBoundMillis() {
        return armTimeoutMillis + commitTimeoutMillis + RELEASE_ROUNDS * roundMillis;
    }

    /** Returns how many steps ahead to arm so that the decision normally arrives before the switch step. */
    public long marginSteps(double stepMillis) {
        Checks.that(stepMillis > 0, "stepMillis", stepMillis, "a value above 0");
        return 1 + (long) Math.ceil((commitTimeoutMillis + 2 * roundMillis) / stepMillis);
    }
}
