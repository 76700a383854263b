package org.jasminehub.agent.call;

/** How a call ended at the agent. */
public enum CallResult {
    /** The complete response was sent. */
    ANSWERED,
    /** A refusal or failure was sent in place of a complete response. */
    REFUSED,
    /** The entry instance cancelled the call, or its connection was lost. */
    CANCELLED
}
