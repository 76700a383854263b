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
 * The history of documents as this instance knows it: takes pages of the log and replies of peers, and answers peers.
 *
 * <p>Not thread-safe.
 */
final class DocumentHistory {
    private static final int MAX_RECORDS = 256;
    private static final long MAX_ANSWER_BYTES = 512 * 1024;
    private static final long MAX_BUFFER_BYTES = 4 * 1024 * 1024;
    private static final long MAX_EVIDENCE_AGE_MILLIS = 8_000;

    private final HistoryRecordCodec codec = new HistoryRecordCodec();
    private final HistoryStateFactory states = new HistoryStateFactory(new DocumentYamlAdapter());
    private final HistoryReplay replay = new HistoryReplay(new DocumentYamlAdapter());
    private final RecordBuffer buffer = new RecordBuffer(MAX_BUFFER_BYTES);
    private final RepairPolicy repair = new RepairPolicy(MAX_RECORDS, MAX_ANSWER_BYTES);
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

    /** Notes that no other instance is known that could have anything newer. */
    void noteAlone(long nowMillis) {
        if (tracker.evidenceAgeMillis(nowMillis) >= 0) {
            tracker.onPeerAgreed(nowMillis);
        }
    }

    /** Takes a page of the log that was asked for at {@code askedAtMillis}. */
    List<HistoryEvent> takePage(LogPage page, long askedAtMillis) {
        List<OffsetRecord> records = page.records().stream()
                .map(record -> new OffsetRecord(record.offset(), record.payload()))
                .toList();
        List<HistoryEvent> events = replay.applyLogPage(page.firstOffset(), records);
        keep(records);
        if (replay.isComplete() && replay.nextOffset() >= page.nextOffset()) {
            tracker.onCaughtUp(askedAtMillis);
        }
        return events;
    }

    /** Returns what to ask a peer for. */
    RecordsRequest request() {
        return RecordsRequest.newBuilder()
                .setFromOffset(replay.state().completeTo())
                .setMaxRecords(MAX_RECORDS)
                .build();
    }

    /** Takes the reply of {@code peer} to a request that was sent at {@code askedAtMillis}. */
    List<HistoryEvent> takeReply(String peer, RecordsReply reply, long askedAtMillis) {
        List<HistoryEvent> events;
        if (reply.getSnapshot().isEmpty()) {
            List<OffsetRecord> records = reply.getRecordsList().stream()
                    .map(record -> new OffsetRecord(
                            record.getOffset(), record.getPayload().toByteArray()))
                    .toList();
            events = replay.applyPeerRecords(records);
            keep(records);
        } else {
            events = install(peer, reply.getSnapshot());
        }
        if (replay.isComplete() && reply.getNextOffset() <= replay.state().completeTo()) {
            noteEvidence(reply, askedAtMillis);
        }
        return events;
    }

    /** Returns the reply to a peer's {@code request}. */
    RecordsReply answer(RecordsRequest request, long nowMillis) {
        HistoryState state = replay.state();
        boolean isCurrent = currency(nowMillis) == Currency.CURRENT;
        RecordsReply.Builder reply = RecordsReply.newBuilder()
                .setNextOffset(state.completeTo())
                .setEvidenceAgeMillis(isCurrent ? tracker.evidenceAgeMillis(nowMillis) : -1);
        RepairReply answer = repair.answer(request.getFromOffset(), request.getMaxRecords(), state, buffer);
        if (answer instanceof RepairReply.Records records) {
            records.records().forEach(record -> reply.addRecords(toMessage(record)));
        } else {
            reply.setSnapshot(encode(state));
        }
        return reply.build();
    }

    private void noteEvidence(RecordsReply reply, long askedAtMillis) {
        if (reply.getEvidenceAgeMillis() >= 0) {
            tracker.onCaughtUp(askedAtMillis - reply.getEvidenceAgeMillis());
        } else if (reply.getNextOffset() > 0) {
            tracker.onPeerAgreed(askedAtMillis);
        }
    }

    private void keep(List<OffsetRecord> records) {
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
        return List.of(new HistoryEvent.SnapshotRefused(0, peer, "it is no snapshot"));
    }

    private ByteString encode(HistoryState state) {
        SnapshotRecord whole = new SnapshotSplitter(Integer.MAX_VALUE)
                .split(state, "peer", "peer", 0)
                .get(0);
        return UnsafeByteOperations.unsafeWrap(codec.encode(whole));
    }

    private static StoredRecord toMessage(OffsetRecord record) {
        return StoredRecord.newBuilder()
                .setOffset(record.offset())
                .setPayload(UnsafeByteOperations.unsafeWrap(record.payload()))
                .build();
    }
}
