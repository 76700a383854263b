package org.jasminehub.core.document;

/** Which work goes first where not all of it fits; the first constant goes before the others. */
public enum Priority {
    /** Somebody waits for the first token. */
    URGENT,
    /** Somebody waits for the whole answer. */
    NORMAL,
    /** Nobody waits. */
    BATCH
}
