package org.jasminehub.core.experts;

/**
 * A planner's answer.
 *
 * @param map the map to change to; the present one where {@code moves} is 0
 * @param moves how many experts the change loads
 * @param before the step time on the present map
 * @param after the step time on {@code map}
 * @param reason why it moves no more than that
 */
public record MapPlan(ExpertMap map, int moves, StepTime before, StepTime after, PlanReason reason) {}
