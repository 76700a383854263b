package org.jasminehub.core.document;

/** The priority of requests when capacity is insufficient, from the highest to the lowest. */
public enum Priority {
    /** A user is waiting for the first token. */
    URGENT,
    /** A user is waiting for the complete response. */
    NORMAL,
    /** No user is waiting. */
    BATCH
}
