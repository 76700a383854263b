package org.jasminehub.core.history;

import com.fasterxml.jackson.annotation.JsonUnwrapped;
import org.jasminehub.core.event.Event;

/** An event that a {@link HistoryReplay} reports: a decision on a record, a gap in the log, or a snapshot. */
public sealed interface HistoryEvent extends Event {
    /** A publish was accepted. */
    record DocumentAccepted(@JsonUnwrapped AuditEntry entry) implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.DOCUMENT_ACCEPTED;
        }
    }

    /** A publish was not accepted because its base is not {@code versionInForce}, published by {@code winner}. */
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

    /** A publish was rejected because its document does not match the schema. */
    record PublishRejected(long offset, String team, String nonce, String operator, String cause)
            implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.PUBLISH_REJECTED;
        }
    }

    /** A record could not be decoded. */
    record RecordUnreadable(long offset, String cause) implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.RECORD_UNREADABLE;
        }
    }

    /** The log dropped the records from {@code completeTo} up to but not including {@code firstOffset} unread. */
    record HistoryGapFound(long completeTo, long firstOffset) implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.HISTORY_GAP_FOUND;
        }
    }

    /** A snapshot from {@code source} was installed. */
    record StateInstalled(long completeTo, int documents, String source) implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.STATE_INSTALLED;
        }
    }

    /** A snapshot from {@code source} was refused. */
    record SnapshotRefused(long completeTo, String source, String cause) implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.SNAPSHOT_REFUSED;
        }
    }

    /** All parts of a snapshot were read; the last one was at {@code offset}. */
    record SnapshotSeen(long completeTo, long offset, String writer, long wallMillis) implements HistoryEvent {
        @Override
        public DocumentEventKind kind() {
            return DocumentEventKind.SNAPSHOT_SEEN;
        }
    }
}
