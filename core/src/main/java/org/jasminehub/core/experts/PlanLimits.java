package org.jasminehub.core.experts;

import org.jasminehub.core.internal.Checks;

/**
 * What a change of map may cost and how long it has to pay.
 *
 * @param horizonSteps the steps over which a gain is counted
 * @param moveMillis the group's time that loading one expert takes away
 * @param hysteresis how many times its cost a gain must be worth, at least 1
 * @param maxMoves the most experts that one change may load
 */
public record PlanLimits(long horizonSteps, double moveMillis, double hysteresis, int maxMoves) {
    /** Creates checked limits. */
    public PlanLimits {
        Checks.positive("horizonSteps", horizonSteps);
        Checks.that(moveMillis >= 0, "moveMillis", moveMillis, "a value of at least 0");
        Checks.that(hysteresis >= 1, "hysteresis", hysteresis, "a value of at least 1");
        Checks.notNegative("maxMoves", maxMoves);
    }
}
