package org.jasminehub.core.experts.placement;

/**
 * One order to one rank.
 *
 * @param rank the rank
 * @param kind what to do
 * @param version the map concerned, 0 where none is
 * @param step the step concerned, 0 where none is
 */
public record RankOrder(int rank, Kind kind, long version, long step) {
    /** What a rank is told. */
    public enum Kind {
        /** Copy the experts that the new map needs. */
        PREPARE,
        /** Take the prepared map as a step begins. */
        ARM,
        /** Forget an armed map. */
        DISARM,
        /** Do not begin a step before it is released. */
        HOLD,
        /** Begin the step that is held. */
        RELEASE
    }
}
