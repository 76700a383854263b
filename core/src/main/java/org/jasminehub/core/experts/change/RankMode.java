package org.jasminehub.core.experts.change;

/** What a rank does when it comes to its next step. */
public enum RankMode {
    /** It takes part in no step until it is told to join. */
    OUT,
    /** It runs every step on its map. */
    RUNNING,
    /** It runs on its map up to the switch step and waits there until told to go or to abort. */
    ARMED,
    /** It runs on its map up to the switch step and on the next map from there on. */
    GOING
}
