package org.jasminehub.core.experts;

import org.jasminehub.core.internal.Checks;

/**
 * Limits and cost parameters for planning a map change.
 *
 * @param horizonSteps the number of steps over which the gain is accumulated
 * @param moveMillis the time that the group loses by loading one expert
 * @param hysteresis the minimum ratio of gain to cost, at least 1
 * @param maxMoves the maximum number of experts that one change may load
 */
public record PlanLimits(long horizonSteps, double moveMillis, double hysteresis, int maxMoves) {
    /** Creates limits after checking their ranges. */
    public PlanLimits {
        Checks.positive("horizonSteps", horizonSteps);
        Checks.that(moveMillis >= 0, "moveMillis", moveMillis, "a value of at least 0");
        Checks.that(hysteresis >= 1, "hysteresis", hysteresis, "a value of at least 1");
        Checks.notNegative("maxMoves", maxMoves);
    }
}
