package org.jasminehub.core.history;

/** What an instance knows about whether its documents are the newest. */
public enum Currency {
    /** It read to the log's end, or a peer that did has nothing newer. */
    CURRENT,
    /** The log cannot be read, and peers in reach that cannot read it either have nothing newer. */
    AGREED_WITH_PEERS,
    /** It missed records and decides nothing until it found a complete snapshot. */
    MISSED_RECORDS,
    /** It has heard neither from the log nor from peers for too long, or not yet. */
    UNKNOWN;

    /** Tells whether callers may be sent to an instance that knows this much. */
    public boolean isServing() {
        return this == CURRENT || this == AGREED_WITH_PEERS;
    }
}
