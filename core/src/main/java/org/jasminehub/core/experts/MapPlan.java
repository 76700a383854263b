package org.jasminehub.core.experts;

/**
 * The result of planning a map change.
 *
 * @param map the map to change to; equal to the current map if {@code moves} is 0
 * @param moves the number of experts to load
 * @param before the step time on the current map
 * @param after the step time on {@code map}
 * @param reason why the plan contains no more moves
 */
public record MapPlan(ExpertMap map, int moves, StepTime before, StepTime after, PlanReason reason) {}
