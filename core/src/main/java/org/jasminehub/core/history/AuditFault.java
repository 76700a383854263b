package org.jasminehub.core.history;

/**
 * A place where a trail does not match its hash chain.
 *
 * @param kind what is wrong
 * @param sequence the sequence number of the first entry concerned
 * @param detail what was found and expected
 */
public record AuditFault(Kind kind, long sequence, String detail) {
    /** What is wrong with an entry. */
    public enum Kind {
        /** An entry is missing. */
        REMOVED,
        /** An entry's fields do not match its hash, or the hash that its neighbours name. */
        CHANGED
    }
}
