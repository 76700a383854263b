package org.jasminehub.core.experts.change;

/** The phase of a map change of one group, as seen by the holder of the shard's lease. */
public enum ChangePhase {
    /** The holder waits until every rank has reported under its own fencing number. */
    SURVEYING,
    /** Every rank runs on the same map, and no change is open. */
    IDLE,
    /** The ranks load the experts of the next map. */
    LOADING,
    /** The ranks are ordered to stop before the switch step. */
    ARMING,
    /** Every rank is armed, and the commit is being appended to the log. */
    COMMITTING,
    /** The change is committed; the ranks are ordered to switch to the next map. */
    GOING,
    /** The change is aborted; the ranks are ordered to continue on the current map. */
    ABORTING,
    /** A restarted rank is being recorded on the log and joins on the group's map. */
    JOINING,
    /** Another holder has a higher fencing number; this holder sends no more orders. */
    FENCED
}
