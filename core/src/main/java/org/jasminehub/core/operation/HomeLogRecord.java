package org.jasminehub.core.operation;

import org.jspecify.annotations.Nullable;

/**
 * A record on the log about homes of keys.
 *
 * @param kind always {@link #KIND}, to tell it from other parts' records
 * @param nonce lets its writer find it again
 * @param change the proposed change of a table, or null for a record that only marks a point of the log
 */
public record HomeLogRecord(
        String kind, String nonce, @Nullable HomeTableChange change) {
    /** The kind of these records. */
    public static final String KIND = "home-table";

    /** Returns a record that proposes {@code change}. */
    public static HomeLogRecord of(HomeTableChange change, String nonce) {
        return new HomeLogRecord(KIND, nonce, change);
    }

    /** Returns a record that marks a point of the log. */
    public static HomeLogRecord mark(String nonce) {
        return new HomeLogRecord(KIND, nonce, null);
    }

    boolean isValid() {
        return KIND.equals(kind);
    }
}
