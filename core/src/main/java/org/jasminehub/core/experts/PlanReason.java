package org.jasminehub.core.experts;

/** The reason why a plan contains no more moves. */
public enum PlanReason {
    /** No move shortens a step. */
    BALANCED,
    /** Some moves would shorten steps, but their gain does not exceed their cost. */
    NOT_REPAID,
    /** The plan contains every move whose gain exceeds its cost. */
    REPAID,
    /** More moves would be worthwhile than the move budget allows. */
    BUDGET_SPENT
}
