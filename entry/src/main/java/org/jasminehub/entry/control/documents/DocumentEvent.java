package org.jasminehub.entry.control.documents;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.history.DocumentEventKind;

/** The events of a document controller. */
sealed interface DocumentEvent extends Event {
    /** This instance wrote a snapshot of {@code parts} records. */
    record SnapshotWritten(long completeTo, int parts) implements DocumentEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.SNAPSHOT_WRITTEN;
        }
    }

    /** The {@link org.jasminehub.core.history.Currency} of the documents changed from {@code before} to {@code now}. */
    record CurrencyChanged(String before, String now, long nextOffset) implements DocumentEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.CURRENCY_CHANGED;
        }
    }

    /** Records could not be read from or written to {@code source}, which is the log or a peer. */
    record RecordsUnavailable(String source, String cause) implements DocumentEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.RECORDS_UNAVAILABLE;
        }
    }
}
