package org.jasminehub.core.history;

/** The result of decoding a record of the log. */
public sealed interface DecodedRecord {
    /** A record of the document history. */
    record Readable(HistoryRecord record) implements DecodedRecord {}

    /** A well-formed record that belongs to another part of the system, such as a lease. */
    record OtherType(String type) implements DecodedRecord {}

    /** Bytes that are not a valid record, or a record of the document history with missing or invalid fields. */
    record Unreadable(String cause) implements DecodedRecord {}
}
