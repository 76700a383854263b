package org.jasminehub.core.experts.placement;

import org.jasminehub.core.internal.Checks;

/**
 * What one change of map may do.
 *
 * @param placesPerRank experts that a rank can hold in a layer
 * @param newPerLayer experts that may be new to a rank in a layer
 * @param copiesPerRank experts that may be new to a rank over all layers; they are copied one after the other
 * @param minGainPerCopy by how much each copy must bring the smooth skew down, averaged over layers
 */
public record PlacementLimits(int placesPerRank, int newPerLayer, int copiesPerRank, double minGainPerCopy) {
    /** Creates limits. */
    public PlacementLimits {
        Checks.positive("placesPerRank", placesPerRank);
        Checks.notNegative("newPerLayer", newPerLayer);
        Checks.notNegative("copiesPerRank", copiesPerRank);
        Checks.inRange("minGainPerCopy", minGainPerCopy, 0, Double.MAX_VALUE);
    }
}
