package org.jasminehub.core.history;

/** What a record's bytes turned out to be. */
public sealed interface DecodedRecord {
    /** A record that concerns documents. */
    record Readable(HistoryRecord record) implements DecodedRecord {}

    /** A well-formed record of another part of the system. */
    record Foreign(String type) implements DecodedRecord {}

    /** Bytes that no part of the system wrote, or a record of documents with missing or wrong fields. */
    record Unreadable(String cause) implements DecodedRecord {}
}
