package org.jasminehub.core.history;

import com.fasterxml.jackson.annotation.JsonUnwrapped;
import org.jasminehub.core.event.Event;

/** What became of a record, or of the ability to decide on records. */
public sealed interface HistoryEvent extends Event {
    /** A publish was accepted. */
    record DocumentAccepted(@JsonUnwrapped AuditEntry entry) implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.DOCUMENT_ACCEPTED;
        }
    }

    /** A publish lost against {@code winner}, who published {@code versionInForce}. */
    record PublishConflicted(
            long offset,
            String team,
            long baseVersion,
            long versionInForce,
            String nonce,
            String operator,
            String winner)
            implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.PUBLISH_CONFLICTED;
        }
    }

    /** A publish's document does not pass the schema. */
    record PublishRejected(long offset, String team, String nonce, String operator, String cause)
            implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.PUBLISH_REJECTED;
        }
    }

    /** A record's bytes cannot be read. */
    record RecordUnreadable(long offset, String cause) implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.RECORD_UNREADABLE;
        }
    }

    /** Records from {@code completeTo} up to {@code firstOffset} were dropped before they were read. */
    record HistoryGapFound(long completeTo, long firstOffset) implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.HISTORY_GAP_FOUND;
        }
    }

    /** A snapshot from {@code source} was taken over. */
    record StateInstalled(long completeTo, int documents, String source) implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.STATE_INSTALLED;
        }
    }

    /** A snapshot from {@code source} cannot be used. */
    record SnapshotRefused(long completeTo, String source, String cause) implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.SNAPSHOT_REFUSED;
        }
    }

    /** The last part of a snapshot was read at {@code offset}. */
    record SnapshotSeen(long completeTo, long offset, String writer, long wallMillis) implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.SNAPSHOT_SEEN;
        }
    }
}
