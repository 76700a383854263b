package org.jasminehub.core.serving;

import org.jasminehub.core.internal.Checks;

/**
 * How many experts a group places and where.
 *
 * @param layers sets of layers that are placed independently
 * @param experts experts in each
 * @param placesPerRank experts that a rank holds in each
 * @param sparePlaces experts that may be new to a rank in one change, in each
 * @param copyMillis how long a rank copies one expert that is new to it
 * @param workShare the part of token work that experts do
 */
public record ExpertLayout(
        int layers, int experts, int placesPerRank, int sparePlaces, double copyMillis, double workShare) {
    /** The layout of an engine without experts that can be placed. */
    public static final ExpertLayout NONE = new ExpertLayout(0, 0, 0, 0, 0, 0);

    /** Creates a layout; no figure may be negative. */
    public ExpertLayout {
        Checks.notNegative("layers", layers);
        Checks.notNegative("experts", experts);
        Checks.notNegative("placesPerRank", placesPerRank);
        Checks.notNegative("sparePlaces", sparePlaces);
    }

    /** Returns whether experts can be placed. */
    public boolean isPlaceable() {
        return layers > 0 && experts > 0 && placesPerRank > 0;
    }
}
