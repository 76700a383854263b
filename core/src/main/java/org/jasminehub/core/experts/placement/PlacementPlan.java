package org.jasminehub.core.experts.placement;

/**
 * A planner's answer.
 *
 * @param map the map to change to, the present one where nothing is worth changing
 * @param copies how many experts have to be copied to a rank
 * @param skewBefore the most loaded rank over the mean on the present map
 * @param skewAfter the same on {@code map}
 */
public record PlacementPlan(ReplicaMap map, int copies, double skewBefore, double skewAfter) {}
