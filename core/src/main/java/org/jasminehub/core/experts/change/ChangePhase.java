package org.jasminehub.core.experts.change;

/** Where the holder of a shard's lease stands with one group. */
public enum ChangePhase {
    /** It has not heard yet from every rank under its own fencing number. */
    SURVEYING,
    /** Every rank runs on the same map and no change is open. */
    IDLE,
    /** The ranks load the experts of the next map. */
    LOADING,
    /** The ranks are told to stop at the switch step. */
    ARMING,
    /** Every rank is armed and the decision is being recorded on the log. */
    COMMITTING,
    /** The change is decided; the ranks are told to go. */
    GOING,
    /** The change is given up; the ranks are told to run on. */
    ABORTING,
    /** A rank that restarted is being recorded and let in on the group's map. */
    JOINING,
    /** Another holder has a higher fencing number; this one gives no more orders. */
    FENCED
}
