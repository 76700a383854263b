package org.jasminehub.core.drain;

/** How far a planned stop has got; phases follow each other in this order. */
public enum DrainPhase {
    /** The instance has announced that it leaves and still takes requests from those who may not know. */
    ANNOUNCED,
    /** It takes no new request and finishes those it has. */
    FINISHING,
    /** It may end its process. */
    STOPPED
}
