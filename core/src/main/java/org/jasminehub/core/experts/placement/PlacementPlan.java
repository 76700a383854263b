package org.jasminehub.core.experts.placement;

/**
 * The result of planning a placement change.
 *
 * @param map the map to change to; the current map if no change is worthwhile
 * @param copies the total number of experts to copy
 * @param skewBefore the ratio of the most loaded rank to the mean, on the current map
 * @param skewAfter the same ratio on {@code map}
 */
public record PlacementPlan(ReplicaMap map, int copies, double skewBefore, double skewAfter) {}
