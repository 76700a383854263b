package org.jasminehub.core.experts.change;

/** The result of an order at a rank. */
public enum OrderCode {
    /** The order is carried out, now or by an earlier copy of it. */
    ACCEPTED,
    /** The rank has received a higher fencing number. */
    FENCED,
    /** The order names another incarnation of the rank. */
    OTHER_INCARNATION,
    /** The rank has not joined the group. */
    NOT_JOINED,
    /** The rank has not loaded the experts of the map yet. */
    NOT_LOADED,
    /** The rank has already begun the switch step or a later one. */
    STEP_PASSED,
    /** The change has already ended at this rank. */
    ENDED,
    /** The rank is in a state in which it cannot carry out the order. */
    OTHER_CHANGE
}
