package org.jasminehub.core.lease;

/** Whether an agent takes an order. */
public enum OrderVerdict {
    /** It does. */
    ACCEPTED,
    /** It does not know the present fencing number yet; the sender may try again. */
    NUMBER_UNKNOWN,
    /** The order's number is lower than one already in use. */
    NUMBER_OLD,
    /** The order is meant for another incarnation of the agent. */
    OTHER_INCARNATION
}
