package org.jasminehub.entry.control.documents;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.history.DocumentEventKind;

/** What a document controller did or met. */
sealed interface DocumentEvent extends Event {
    /** This instance wrote a snapshot of {@code parts} records. */
    record SnapshotWritten(long completeTo, int parts) implements DocumentEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.SNAPSHOT_WRITTEN;
        }
    }

    /** What is known about being current changed from {@code before} to {@code now}. */
    record CurrencyChanged(String before, String now, long nextOffset) implements DocumentEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.CURRENCY_CHANGED;
        }
    }

    /** {@code source}, the log or a peer, did not give or take records. */
    record RecordsUnavailable(String source, String cause) implements DocumentEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.RECORDS_UNAVAILABLE;
        }
    }
}
