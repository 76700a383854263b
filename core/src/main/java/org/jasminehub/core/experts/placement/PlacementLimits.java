package org.jasminehub.core.experts.placement;

import org.jasminehub.core.internal.Checks;

/**
 * Limits for one map change.
 *
 * @param placesPerRank the number of experts that a rank can hold per layer
 * @param newPerLayer the maximum number of experts copied to a rank per layer
 * @param copiesPerRank the maximum number of experts copied to a rank over all layers; a rank copies them sequentially
 * @param minGainPerCopy the minimum reduction of the smooth skew per copy, averaged over all layers
 */
public record PlacementLimits(int placesPerRank, int newPerLayer, int copiesPerRank, double minGainPerCopy) {
    /** Creates limits after checking their ranges. */
    public PlacementLimits {
        Checks.positive("placesPerRank", placesPerRank);
        Checks.notNegative("newPerLayer", newPerLayer);
        Checks.notNegative("copiesPerRank", copiesPerRank);
        Checks.inRange("minGainPerCopy", minGainPerCopy, 0, Double.MAX_VALUE);
    }
}
