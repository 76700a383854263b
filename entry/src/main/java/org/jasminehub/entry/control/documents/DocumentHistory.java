package org.jasminehub.entry.control.documents;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.util.List;
import org.jasminehub.core.document.DocumentYamlAdapter;
import org.jasminehub.core.error.DocumentException;
import org.jasminehub.core.history.Currency;
import org.jasminehub.core.history.CurrencyTracker;
import org.jasminehub.core.history.DecodedRecord;
import org.jasminehub.core.history.HistoryEvent;
import org.jasminehub.core.history.HistoryRecordCodec;
import org.jasminehub.core.history.HistoryReplay;
import org.jasminehub.core.history.HistoryState;
import org.jasminehub.core.history.HistoryStateFactory;
import org.jasminehub.core.history.OffsetRecord;
import org.jasminehub.core.history.RecordBuffer;
import org.jasminehub.core.history.RepairPolicy;
import org.jasminehub.core.history.RepairReply;
import org.jasminehub.core.history.SnapshotRecord;
import org.jasminehub.core.history.SnapshotSplitter;
import org.jasminehub.platform.log.LogPage;
import org.jasminehub.wire.generated.RecordsReply;
import org.jasminehub.wire.generated.RecordsRequest;
import org.jasminehub.wire.generated.StoredRecord;

/**
 * The history of documents known to this instance: applies pages of the log and replies of peers, and replies to peers.
 *
 * <p>Not thread-safe.
 */
final class DocumentHistory {
    private static final int MAX_RECORDS = 256;
    private static final long MAX_REPLY_BYTES = 512 * 1024;
    private static final long MAX_BUFFER_BYTES = 4 * 1024 * 1024;
    private static final long MAX_EVIDENCE_AGE_MILLIS = 8_000;

    private final HistoryRecordCodec codec = new HistoryRecordCodec();
    private final HistoryStateFactory states = new HistoryStateFactory(new DocumentYamlAdapter());
    private final HistoryReplay replay = new HistoryReplay(new DocumentYamlAdapter());
    private final RecordBuffer buffer = new RecordBuffer(MAX_BUFFER_BYTES);
    private final RepairPolicy repair = new RepairPolicy(MAX_RECORDS, MAX_REPLY_BYTES);
    private final CurrencyTracker tracker = new CurrencyTracker(MAX_EVIDENCE_AGE_MILLIS);

    HistoryState state() {
        return replay.state();
    }

    boolean isComplete() {
        return replay.isComplete();
    }

    long nextOffset() {
        return replay.nextOffset();
    }

    Currency currency(long nowMillis) {
        return tracker.currency(replay.isComplete(), nowMillis);
    }

    /** Records that there is no other instance that could have newer records. */
    void recordNoPeers(long nowMillis) {
        if (tracker.evidenceAgeMillis(nowMillis) >= 0) {
            tracker.onPeerAgreed(nowMillis);
        }
    }

    /** Applies a page of the log that was requested at {@code requestedAtMillis}. */
    List<HistoryEvent> applyPage(LogPage page, long requestedAtMillis) {
        List<OffsetRecord> records = page.records().stream()
                .map(record -> new OffsetRecord(record.offset(), record.payload()))
                .toList();
        List<HistoryEvent> events = replay.applyLogPage(page.firstOffset(), records);
        bufferApplied(records);
        if (replay.isComplete() && replay.nextOffset() >= page.nextOffset()) {
            tracker.onCaughtUp(requestedAtMillis);
        }
        return events;
    }

    /** Returns the request for the next records, to be sent to a peer. */
    RecordsRequest request() {
        return RecordsRequest.newBuilder()
                .setFromOffset(replay.state().completeTo())
                .setMaxRecords(MAX_RECORDS)
                .build();
    }

    /** Applies the reply of {@code peer} to a request that was sent at {@code requestedAtMillis}. */
    List<HistoryEvent> applyReply(String peer, RecordsReply reply, long requestedAtMillis) {
        List<HistoryEvent> events;
        if (reply.getSnapshot().isEmpty()) {
            List<OffsetRecord> records = reply.getRecordsList().stream()
                    .map(record -> new OffsetRecord(
                            record.getOffset(), record.getPayload().toByteArray()))
                    .toList();
            events = replay.applyPeerRecords(records);
            bufferApplied(records);
        } else {
            events = install(peer, reply.getSnapshot());
        }
        if (replay.isComplete() && reply.getNextOffset() <= replay.state().completeTo()) {
            recordEvidence(reply, requestedAtMillis);
        }
        return events;
    }

    /** Returns the reply to a peer's {@code request}. */
    RecordsReply replyTo(RecordsRequest request, long nowMillis) {
        HistoryState state = replay.state();
        boolean isCurrent = currency(nowMillis) == Currency.CURRENT;
        RecordsReply.Builder reply = RecordsReply.newBuilder()
                .setNextOffset(state.completeTo())
                .setEvidenceAgeMillis(isCurrent ? tracker.evidenceAgeMillis(nowMillis) : -1);
        RepairReply content = repair.answer(request.getFromOffset(), request.getMaxRecords(), state, buffer);
        if (content instanceof RepairReply.Records records) {
            records.records().forEach(record -> reply.addRecords(toMessage(record)));
        } else {
            reply.setSnapshot(encode(state));
        }
        return reply.build();
    }

    private void recordEvidence(RecordsReply reply, long requestedAtMillis) {
        if (reply.getEvidenceAgeMillis() >= 0) {
            tracker.onCaughtUp(requestedAtMillis - reply.getEvidenceAgeMillis());
        } else if (reply.getNextOffset() > 0) {
            tracker.onPeerAgreed(requestedAtMillis);
        }
    }

    private void bufferApplied(List<OffsetRecord> records) {
        records.stream()
                .filter(record -> record.offset() < replay.state().completeTo())
                .forEach(buffer::add);
    }

    private List<HistoryEvent> install(String peer, ByteString snapshot) {
        DecodedRecord decoded = codec.decode(snapshot.toByteArray());
        if (decoded instanceof DecodedRecord.Readable readable && readable.record() instanceof SnapshotRecord part) {
            try {
                return replay.install(states.create(part.completeTo(), part.head(), part.documents()), peer);
            } catch (DocumentException e) {
                return List.of(
                        new HistoryEvent.SnapshotRefused(part.completeTo(), peer, String.valueOf(e.getMessage())));
            }
        }
        return List.of(new HistoryEvent.SnapshotRefused(0, peer, "the record is not a snapshot"));
    }

    private ByteString encode(HistoryState state) {
        SnapshotRecord snapshot = new SnapshotSplitter(Integer.MAX_VALUE)
                .split(state, "peer", "peer", 0)
                .get(0);
        return UnsafeByteOperations.unsafeWrap(codec.encode(snapshot));
    }

    private static StoredRecord toMessage(OffsetRecord record) {
        return StoredRecord.newBuilder()
                .setOffset(record.offset())
                .setPayload(UnsafeByteOperations.unsafeWrap(record.payload()))
                .build();
    }
}
