package org.jasminehub.core.document;

import org.jasminehub.core.internal.Checks;

/**
 * The weights with which the benefit of balanced ranks is compared with the cost of moving experts.
 *
 * @param skewWeight the weight of the step time lost by waiting for the slowest rank, 0 to 1000
 * @param moveWeight the weight of the bytes moved and the steps delayed, 0 to 1000
 */
public record ExpertRule(double skewWeight, double moveWeight) {
    private static final double MAX_WEIGHT = 1000;

    /** Creates a rule and validates its components. */
    public ExpertRule {
        Checks.inRange("skewWeight", skewWeight, 0, MAX_WEIGHT);
        Checks.inRange("moveWeight", moveWeight, 0, MAX_WEIGHT);
    }
}
