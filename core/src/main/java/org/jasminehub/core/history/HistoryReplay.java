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
 * Decides on publishes by reading the log in order: one is accepted if and only if its base is the version in force.
 *
 * <p>A replay decides only from a state that is complete: the empty state at offset 0, a snapshot of the log that is
 * complete up to the first offset still readable, or a peer's state. After the log dropped records unread it keeps the
 * documents in force, decides nothing, and reads on for such a snapshot; then it goes back to the snapshot's offset.
 *
 * <pre>{@code
 * HistoryReplay replay = new HistoryReplay(new DocumentYamlAdapter());
 * LogPage page = read(replay.nextOffset());
 * List<HistoryEvent> events = replay.applyLogPage(page.firstOffset(), recordsOf(page));
 * HistoryState state = replay.state();
 * }</pre>
 *
 * <p>Not thread-safe; the states that it gives are immutable.
 */
public final class HistoryReplay {
    private final HistoryRecordCodec codec = new HistoryRecordCodec();
    private final SnapshotAssembler assembler = new SnapshotAssembler();
    private final HistoryStateFactory states;

    private HistoryState state = HistoryState.EMPTY;
    private boolean complete = true;
    private long scanStart;
    private long scanNext;

    /** Creates a replay at offset 0 that parses documents with {@code schema}. */
    public HistoryReplay(DocumentYamlAdapter schema) {
        this.states = new HistoryStateFactory(schema);
    }

    /** Returns the documents in force as far as they are known. */
    public HistoryState state() {
        return state;
    }

    /** Tells whether no record below {@link #nextOffset()} was missed, so that publishes can be decided. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns the offset from which to read next. */
    public long nextOffset() {
        return complete ? state.completeTo() : scanNext;
    }

    /** Takes records read from the log, whose first readable offset was {@code firstOffset}. */
    public List<HistoryEvent> applyLogPage(long firstOffset, List<OffsetRecord> records) {
        List<HistoryEvent> events = new ArrayList<>();
        noteFirstOffset(firstOffset, events);
        for (OffsetRecord record : records) {
            if (complete) {
                applyNext(record, events);
            } else {
                scanNext(record, events);
            }
        }
        return events;
    }

    /**
     * Takes records that a peer has read from the log; ones already known are skipped. They may fill the place of
     * records that the log dropped.
     */
    public List<HistoryEvent> applyPeerRecords(List<OffsetRecord> records) {
        List<HistoryEvent> events = new ArrayList<>();
        records.forEach(record -> applyNext(record, events));
        complete = complete || state.completeTo() >= scanStart;
        return events;
    }

    /** Takes over {@code offered}, complete by the word of {@code source}, if it reaches further than this state. */
    public List<HistoryEvent> install(HistoryState offered, String source) {
        if (offered.completeTo() <= state.completeTo()) {
            return List.of();
        }
        Optional<TeamId> lowered = state.firstLowered(offered);
        if (lowered.isPresent()) {
            String cause = "it lowers the version of team " + lowered.get();
            return List.of(new HistoryEvent.SnapshotRefused(offered.completeTo(), source, cause));
        }
        state = offered;
        complete = complete || offered.completeTo() >= scanStart;
        return List.of(new HistoryEvent.StateInstalled(
                offered.completeTo(), offered.documents().size(), source));
    }

    private void noteFirstOffset(long firstOffset, List<HistoryEvent> events) {
        if (firstOffset <= nextOffset()) {
            return;
        }
        if (complete) {
            events.add(new HistoryEvent.HistoryGapFound(state.completeTo(), firstOffset));
        }
        complete = false;
        scanStart = firstOffset;
        scanNext = firstOffset;
    }

    /** Decides on a record that follows the state. */
    private void applyNext(OffsetRecord record, List<HistoryEvent> events) {
        if (record.offset() != state.completeTo()) {
            return;
        }
        DecodedRecord decoded = codec.decode(record.payload());
        decide(record.offset(), decoded, events);
        state = state.withCompleteTo(record.offset() + 1);
        wholeSnapshot(decoded).ifPresent(snapshot -> compare(record.offset(), snapshot, events));
    }

    /** Reads a record that does not follow the state, for the snapshot that it may complete. */
    private void scanNext(OffsetRecord record, List<HistoryEvent> events) {
        if (record.offset() != scanNext) {
            return;
        }
        scanNext = record.offset() + 1;
        wholeSnapshot(codec.decode(record.payload()))
                .ifPresent(snapshot -> installFromLog(record.offset(), snapshot, events));
    }

    private Optional<SnapshotRecord> wholeSnapshot(DecodedRecord decoded) {
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
            return accept(offset, publish, states.parse(publish.team(), publish.documentText()));
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

    private void compare(long offset, SnapshotRecord snapshot, List<HistoryEvent> events) {
        events.add(seen(offset, snapshot));
        firstUnknown(snapshot.documents())
                .ifPresent(unknown -> events.add(
                        refuse(snapshot, "it holds version " + unknown.version() + " of team " + unknown.team())));
    }

    private void installFromLog(long offset, SnapshotRecord snapshot, List<HistoryEvent> events) {
        events.add(seen(offset, snapshot));
        if (snapshot.completeTo() > offset) {
            events.add(refuse(snapshot, "it claims records that came after it"));
            return;
        }
        if (snapshot.completeTo() < scanStart) {
            return;
        }
        try {
            HistoryState offered = states.create(snapshot.completeTo(), snapshot.head(), snapshot.documents());
            events.addAll(install(offered, snapshot.writer()));
        } catch (DocumentException e) {
            events.add(refuse(snapshot, String.valueOf(e.getMessage())));
        }
    }

    private Optional<AcceptedDocument> firstUnknown(List<AcceptedDocument> documents) {
        return documents.stream()
                .filter(document -> document.version() > state.version(new TeamId(document.team())))
                .findFirst();
    }

    private static HistoryEvent seen(long offset, SnapshotRecord snapshot) {
        return new HistoryEvent.SnapshotSeen(snapshot.completeTo(), offset, snapshot.writer(), snapshot.wallMillis());
    }

    private static HistoryEvent refuse(SnapshotRecord part, String cause) {
        return new HistoryEvent.SnapshotRefused(part.completeTo(), part.writer(), cause);
    }
}
