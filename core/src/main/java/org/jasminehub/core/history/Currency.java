package org.jasminehub.core.history;

/** How far an instance can tell that its documents are up to date. */
public enum Currency {
    /** The instance recently read to the end of the log, or a peer that did so has nothing newer. */
    CURRENT,
    /** The log cannot be read; reachable peers, which cannot read it either, have nothing newer. */
    AGREED_WITH_PEERS,
    /** The instance missed records and decides no publish until it finds a snapshot that covers them. */
    MISSED_RECORDS,
    /** There is no recent evidence from the log or from peers. */
    UNKNOWN;

    /** Returns whether an instance in this state may serve callers. */
    public boolean isServing() {
        return this == CURRENT || this == AGREED_WITH_PEERS;
    }
}
