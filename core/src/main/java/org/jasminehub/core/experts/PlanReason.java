package org.jasminehub.core.experts;

/** Why a plan moves as many experts as it does. */
public enum PlanReason {
    /** No move makes a step faster. */
    BALANCED,
    /** Moves would make steps faster, but not by enough to repay them. */
    NOT_REPAID,
    /** Every move that repays itself is in the plan. */
    REPAID,
    /** More moves would repay themselves than the move budget allows. */
    BUDGET_SPENT
}
