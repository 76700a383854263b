package org.jasminehub.core.lease;

/** What the writer of a lease record asks for. */
public enum LeaseAction {
    /** To become the holder. */
    CLAIM,
    /** To stay the holder. */
    RENEW,
    /** To stop being the holder at once. */
    RELEASE
}
