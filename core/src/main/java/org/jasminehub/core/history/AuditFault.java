package org.jasminehub.core.history;

/**
 * A mismatch between an audit trail and its hash chain.
 *
 * @param kind the kind of mismatch
 * @param sequence the sequence number of the first affected entry
 * @param detail a description of what was found and what was expected
 */
public record AuditFault(Kind kind, long sequence, String detail) {
    /** The kind of mismatch. */
    public enum Kind {
        /** An entry is missing. */
        REMOVED,
        /** The fields of an entry do not match its own hash or the hash recorded in a neighbouring entry. */
        CHANGED
    }
}
