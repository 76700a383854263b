package org.jasminehub.agent.call;

/** How a call ended at the agent. */
public enum CallResult {
    /** The whole answer was sent. */
    ANSWERED,
    /** A refusal or failure was sent in place of a whole answer. */
    REFUSED,
    /** The entry instance did not want the answer any more, or its connection was lost. */
    CANCELLED
}
