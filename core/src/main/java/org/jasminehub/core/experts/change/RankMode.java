package org.jasminehub.core.experts.change;

/** Determines whether a rank runs its next step, and on which map. */
public enum RankMode {
    /** The rank runs no steps until it receives a join order. */
    OUT,
    /** The rank runs every step on its current map. */
    RUNNING,
    /** The rank runs on its current map and stops before the switch step until it receives a go or abort order. */
    ARMED,
    /** The rank runs on its current map before the switch step and on the next map from the switch step on. */
    GOING
}
