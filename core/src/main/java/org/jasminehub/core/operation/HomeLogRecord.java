package org.jasminehub.core.operation;

import org.jspecify.annotations.Nullable;

/**
 * A record on the log about homes of keys.
 *
 * @param type always {@link #TYPE}, to tell it from other parts' records
 * @param nonce lets its writer find it again
 * @param change the proposed change of a table, or null for a record that only marks a point of the log
 */
public record HomeLogRecord(
        String type, String nonce, @Nullable HomeTableChange change) {
    /** The type of these records. */
    public static final String TYPE = "home-table";

    /** Returns a record that proposes {@code change}. */
    public static HomeLogRecord of(HomeTableChange change, String nonce) {
        return new HomeLogRecord(TYPE, nonce, change);
    }

    /** Returns a record that marks a point of the log. */
    public static HomeLogRecord mark(String nonce) {
        return new HomeLogRecord(TYPE, nonce, null);
    }

    boolean isValid() {
        return TYPE.equals(type);
    }
}
