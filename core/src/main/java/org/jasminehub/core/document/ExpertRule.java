package org.jasminehub.core.document;

import org.jasminehub.core.internal.Checks;

/**
 * How a team weighs balanced ranks against the cost of moving experts.
 *
 * @param skewWeight the weight of step time lost to the slowest rank, 0 to 1000
 * @param moveWeight the weight of bytes moved and steps delayed, 0 to 1000
 */
public record ExpertRule(double skewWeight, double moveWeight) {
    private static final double MAX_WEIGHT = 1000;

    /** Creates a checked rule. */
    public ExpertRule {
        Checks.inRange("skewWeight", skewWeight, 0, MAX_WEIGHT);
        Checks.inRange("moveWeight", moveWeight, 0, MAX_WEIGHT);
    }
}
