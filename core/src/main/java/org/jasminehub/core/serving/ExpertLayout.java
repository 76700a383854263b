package org.jasminehub.core.serving;

import org.jasminehub.core.internal.Checks;

/**
 * The number of experts in a group and the capacity of its ranks for them.
 *
 * @param layers the number of sets of layers whose experts are placed independently
 * @param experts the number of experts in each set
 * @param placesPerRank the number of experts that a rank holds in each set
 * @param sparePlaces the number of experts that a rank can load in one change, in each set
 * @param copyMillis how long a rank takes to copy one expert that it does not hold yet
 * @param workShare the share of the work per token that is done by experts
 */
public record ExpertLayout(
        int layers, int experts, int placesPerRank, int sparePlaces, double copyMillis, double workShare) {
    /** The layout of an engine that has no experts to place. */
    public static final ExpertLayout NONE = new ExpertLayout(0, 0, 0, 0, 0, 0);

    /** Creates a layout; the counts must not be negative. */
    public ExpertLayout {
        Checks.notNegative("layers", layers);
        Checks.notNegative("experts", experts);
        Checks.notNegative("placesPerRank", placesPerRank);
        Checks.notNegative("sparePlaces", sparePlaces);
    }

    /** Returns whether the engine has experts to place. */
    public boolean isPlaceable() {
        return layers > 0 && experts > 0 && placesPerRank > 0;
    }
}
