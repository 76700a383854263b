package org.jasminehub.core.lease;

/** The decision of an agent on an order. */
public enum OrderVerdict {
    /** The order is accepted. */
    ACCEPTED,
    /** The agent does not know the lowest valid fencing number yet; the sender may retry. */
    NUMBER_UNKNOWN,
    /** The fencing number of the order is lower than the lowest valid one. */
    NUMBER_OLD,
    /** The order is addressed to another incarnation of the agent. */
    OTHER_INCARNATION
}
