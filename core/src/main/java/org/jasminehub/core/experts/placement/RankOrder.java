package org.jasminehub.core.experts.placement;

/**
 * An order to one rank.
 *
 * @param rank the number of the rank
 * @param kind the operation to carry out
 * @param version the map version that the order refers to, 0 if none
 * @param step the step that the order refers to, 0 if none
 */
public record RankOrder(int rank, Kind kind, long version, long step) {
    /** The operation that a rank is ordered to carry out. */
    public enum Kind {
        /** Copies the experts that the new map requires. */
        PREPARE,
        /** Switches to the prepared map when the step begins. */
        ARM,
        /** Cancels an armed map. */
        DISARM,
        /** Prevents the step from beginning before it is released. */
        HOLD,
        /** Releases the held step. */
        RELEASE
    }
}
