package org.jasminehub.core.experts.change;

/** How a rank took an order. */
public enum OrderCode {
    /** Done, now or by an earlier copy of the same order. */
    ACCEPTED,
    /** The rank was shown a higher fencing number. */
    FENCED,
    /** The order names another incarnation of the rank. */
    OTHER_INCARNATION,
    /** The rank takes part in no step. */
    NOT_JOINED,
    /** The rank has not loaded the map's experts yet. */
    NOT_LOADED,
    /** The rank has begun the switch step or a later one. */
    STEP_PASSED,
    /** The change has ended at this rank. */
    ENDED,
    /** The rank's state does not fit the order. */
    OTHER_CHANGE
}
