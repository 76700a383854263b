package org.jasminehub.core.operation;

import org.jspecify.annotations.Nullable;

/**
 * A record on the shared log that concerns home tables.
 *
 * @param type always {@link #TYPE}, which distinguishes it from other records on the same log
 * @param nonce a unique value by which its writer recognizes the record when reading the log
 * @param change the proposed change of a home table, or null for a record that only marks a position in the log
 */
public record HomeLogRecord(
        String type, String nonce, @Nullable HomeTableChange change) {
    /** The value of {@code type} in every valid record. */
    public static final String TYPE = "home-table";

    /** Returns a record that proposes {@code change}. */
    public static HomeLogRecord of(HomeTableChange change, String nonce) {
        return new HomeLogRecord(TYPE, nonce, change);
    }

    /** Returns a record that marks a position in the log. */
    public static HomeLogRecord mark(String nonce) {
        return new HomeLogRecord(TYPE, nonce, null);
    }

    boolean isValid() {
        return TYPE.equals(type);
    }
}
