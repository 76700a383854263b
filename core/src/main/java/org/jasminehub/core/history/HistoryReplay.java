package org.jasminehub.core.history;

import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.jasminehub.core.document.DocumentYamlAdapter;
import org.jasminehub.core.document.TeamDocument;
import org.jasminehub.core.error.DocumentException;
import org.jasminehub.core.identity.TeamId;

/**
 * Replays the log in order and decides which publishes are accepted.
 *
 * <p>A publish is accepted if and only if its document is valid and its base is the version in force. Publishes are
 * decided only from a complete state: the empty state at offset 0, a snapshot in the log that covers every record
 * below the first readable offset, or the state of a peer.
 *
 * <p>If the log dropped records before they were read, the replay keeps the documents in force and decides nothing. It
 * reads on until it finds a snapshot that covers the gap, installs it, and continues at the snapshot's offset.
 *
 * <pre>{@code
 * HistoryReplay replay = new HistoryReplay(new DocumentYamlAdapter());
 * LogPage page = read(replay.nextOffset());
 * List<HistoryEvent> events = replay.applyLogPage(page.firstOffset(), recordsOf(page));
 * HistoryState state = replay.state();
 * }</pre>
 *
 * <p>Not thread-safe; the states that it returns are immutable.
 */
public final class HistoryReplay {
    private final HistoryRecordCodec codec = new HistoryRecordCodec();
    private final SnapshotAssembler assembler = new SnapshotAssembler();
    private final HistoryStateFactory stateFactory;

    private HistoryState state = HistoryState.EMPTY;
    private boolean complete = true;
    /** First readable offset after a gap; a state that reaches it closes the gap. */
    private long firstReadableOffset;
    /** Offset of the next record to search for a snapshot while the state is incomplete. */
    private long scanOffset;

    /** Creates a replay at offset 0 that parses documents with {@code schema}. */
    public HistoryReplay(DocumentYamlAdapter schema) {
        this.stateFactory = new HistoryStateFactory(schema);
    }

    /** Returns the newest known state. */
    public HistoryState state() {
        return state;
    }

    /** Returns whether no record below {@link #nextOffset()} was missed, so that publishes can be decided. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns the offset from which to read next. */
    public long nextOffset() {
        return complete ? state.completeTo() : scanOffset;
    }

    /** Applies records read from the log, whose first readable offset was {@code firstOffset}. */
    public List<HistoryEvent> applyLogPage(long firstOffset, List<OffsetRecord> records) {
        List<HistoryEvent> events = new ArrayList<>();
        checkForGap(firstOffset, events);
        for (OffsetRecord record : records) {
            if (complete) {
                applyNext(record, events);
            } else {
                scanForSnapshot(record, events);
            }
        }
        return events;
    }

    /**
     * Applies records that a peer has read from the log; records that do not directly follow the state are skipped.
     * Records from a peer can close a gap left by records that the log dropped.
     */
    public List<HistoryEvent> applyPeerRecords(List<OffsetRecord> records) {
        List<HistoryEvent> events = new ArrayList<>();
        records.forEach(record -> applyNext(record, events));
        complete = complete || state.completeTo() >= firstReadableOffset;
        return events;
    }

    /** Installs {@code offered}, which {@code source} reported as complete, if it is newer than the current state. */
    public List<HistoryEvent> install(HistoryState offered, String source) {
        if (offered.completeTo() <= state.completeTo()) {
            return List.of();
        }
        Optional<TeamId> lowered = state.firstLowered(offered);
        if (lowered.isPresent()) {
            String cause = "the snapshot would lower the version of team " + lowered.get();
            return List.of(new HistoryEvent.SnapshotRefused(offered.completeTo(), source, cause));
        }
        state = offered;
        complete = complete || offered.completeTo() >= firstReadableOffset;
        return List.of(new HistoryEvent.StateInstalled(
                offered.completeTo(), offered.documents().size(), source));
    }

    private void checkForGap(long firstOffset, List<HistoryEvent> events) {
        if (firstOffset <= nextOffset()) {
            return;
        }
        if (complete) {
            events.add(new HistoryEvent.HistoryGapFound(state.completeTo(), firstOffset));
        }
        complete = false;
        firstReadableOffset = firstOffset;
        scanOffset = firstOffset;
    }

    /** Decides a record and advances the state, if the record directly follows the state. */
    private void applyNext(OffsetRecord record, List<HistoryEvent> events) {
        if (record.offset() != state.completeTo()) {
            return;
        }
        DecodedRecord decoded = codec.decode(record.payload());
        decide(record.offset(), decoded, events);
        state = state.withCompleteTo(record.offset() + 1);
        completeSnapshot(decoded).ifPresent(snapshot -> checkSnapshot(record.offset(), snapshot, events));
    }

    /** Reads a record after a gap and installs the snapshot that it completes, if any. */
    private void scanForSnapshot(OffsetRecord record, List<HistoryEvent> events) {
        if (record.offset() != scanOffset) {
            return;
        }
        scanOffset = record.offset() + 1;
        completeSnapshot(codec.decode(record.payload()))
                .ifPresent(snapshot -> installFromLog(record.offset(), snapshot, events));
    }

    private Optional<SnapshotRecord> completeSnapshot(DecodedRecord decoded) {
        if (decoded instanceof DecodedRecord.Readable readable && readable.record() instanceof SnapshotRecord part) {
            return assembler.add(part);
        }
        return Optional.empty();
    }

    private void decide(long offset, DecodedRecord decoded, List<HistoryEvent> events) {
        if (decoded instanceof DecodedRecord.Unreadable unreadable) {
            events.add(new HistoryEvent.RecordUnreadable(offset, unreadable.cause()));
        }
        if (decoded instanceof DecodedRecord.Readable readable && readable.record() instanceof PublishRecord publish) {
            events.add(decide(offset, publish));
        }
    }

    private HistoryEvent decide(long offset, PublishRecord publish) {
        TeamId team = new TeamId(publish.team());
        long versionInForce = state.version(team);
        if (publish.baseVersion() != versionInForce) {
            String winner = state.document(team)
                    .map(document -> document.source().operator())
                    .orElse("");
            return new HistoryEvent.PublishConflicted(
                    offset,
                    publish.team(),
                    publish.baseVersion(),
                    versionInForce,
                    publish.nonce(),
                    publish.operator(),
                    winner);
        }
        try {
            return accept(offset, publish, stateFactory.parse(publish.team(), publish.documentText()));
        } catch (DocumentException e) {
            return new HistoryEvent.PublishRejected(
                    offset, publish.team(), publish.nonce(), publish.operator(), String.valueOf(e.getMessage()));
        }
    }

    private HistoryEvent accept(long offset, PublishRecord publish, TeamDocument document) {
        AuditEntry entry = state.head().extend(offset, publish);
        AcceptedDocument source = new AcceptedDocument(
                publish.team(),
                offset,
                publish.baseVersion(),
                publish.nonce(),
                publish.operator(),
                publish.documentText());
        TreeMap<TeamId, VersionedDocument> documents = new TreeMap<>(state.documents());
        documents.put(document.teamId(), new VersionedDocument(source, document));
        state = new HistoryState(state.completeTo(), entry.head(), ImmutableSortedMap.copyOfSorted(documents));
        return new HistoryEvent.DocumentAccepted(entry);
    }

    /** Checks a snapshot against the replayed state, which must hold every version that the snapshot contains. */
    private void checkSnapshot(long offset, SnapshotRecord snapshot, List<HistoryEvent> events) {
        events.add(snapshotSeen(offset, snapshot));
        firstNewerDocument(snapshot.documents())
                .ifPresent(newer -> events.add(snapshotRefused(
                        snapshot,
                        "the snapshot contains the unaccepted version " + newer.version() + " of team "
                                + newer.team())));
    }

    private void installFromLog(long offset, SnapshotRecord snapshot, List<HistoryEvent> events) {
        events.add(snapshotSeen(offset, snapshot));
        if (snapshot.completeTo() > offset) {
            events.add(snapshotRefused(snapshot, "the snapshot claims to include records that follow it in the log"));
            return;
        }
        if (snapshot.completeTo() < firstReadableOffset) {
            return;
        }
        try {
            HistoryState offered = stateFactory.create(snapshot.completeTo(), snapshot.head(), snapshot.documents());
            events.addAll(install(offered, snapshot.writer()));
        } catch (DocumentException e) {
            events.add(snapshotRefused(snapshot, String.valueOf(e.getMessage())));
        }
    }

    private Optional<AcceptedDocument> firstNewerDocument(List<AcceptedDocument> documents) {
        return documents.stream()
                .filter(document -> document.version() > state.version(new TeamId(document.team())))
                .findFirst();
    }

    private static HistoryEvent snapshotSeen(long offset, SnapshotRecord snapshot) {
        return new HistoryEvent.SnapshotSeen(snapshot.completeTo(), offset, snapshot.writer(), snapshot.wallMillis());
    }

    private static HistoryEvent snapshotRefused(SnapshotRecord part, String cause) {
        return new HistoryEvent.SnapshotRefused(part.completeTo(), part.writer(), cause);
    }
}
