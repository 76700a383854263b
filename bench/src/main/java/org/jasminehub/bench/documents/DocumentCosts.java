package org.jasminehub.bench.documents;

import java.util.List;
import org.jasminehub.core.document.DocumentYamlAdapter;
import org.jasminehub.core.history.HistoryRecordCodec;
import org.jasminehub.core.history.HistoryReplay;
import org.jasminehub.core.history.OffsetRecord;
import org.jasminehub.core.history.SnapshotRecord;
import org.jasminehub.core.history.SnapshotSplitter;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.RecordsReply;
import org.jasminehub.wire.generated.RecordsRequest;

/**
 * The measured cost of one record, document, poll and snapshot on this machine.
 *
 * @param recordBytes the size of a publish record in the log
 * @param replayMicros the time in which one thread decodes and applies a publish record
 * @param documentBytes the heap of one document in force, both as text and parsed
 * @param emptyPollBytes the size of the request and the reply of a poll that finds no new records
 * @param snapshotBytes the size of a snapshot of all teams, summed over its parts
 */
record DocumentCosts(
        double recordBytes, double replayMicros, double documentBytes, double emptyPollBytes, double snapshotBytes) {
    private static final int WARM_UP_ROUNDS = 4;
    private static final int MAX_PART_CHARACTERS = 64 * 1024;
    private static final int GC_RUNS = 4;
    private static final double NANOS_PER_MICRO = 1_000;

    /** Measures the costs with one document for each of {@code teams} teams. */
    static DocumentCosts measure(int teams) {
        List<OffsetRecord> firstPublishes = SampleHistory.records(teams, 1);
        double recordBytes = firstPublishes.stream()
                .mapToInt(record -> record.payload().length)
                .average()
                .orElse(0);
        double replayMicros = measureReplayMicros(SampleHistory.records(teams, WARM_UP_ROUNDS + 1), teams);
        long usedBefore = usedBytes();
        HistoryReplay replay = new HistoryReplay(new DocumentYamlAdapter());
        replay.applyLogPage(0, firstPublishes);
        double documentBytes = (double) (usedBytes() - usedBefore) / teams;
        return new DocumentCosts(
                recordBytes, replayMicros, documentBytes, measurePollBytes(), measureSnapshotBytes(replay));
    }

    private static double measureReplayMicros(List<OffsetRecord> records, int teams) {
        HistoryReplay replay = new HistoryReplay(new DocumentYamlAdapter());
        int warmUp = WARM_UP_ROUNDS * teams;
        replay.applyLogPage(0, records.subList(0, warmUp));
        long startNanos = System.nanoTime();
        replay.applyLogPage(0, records.subList(warmUp, records.size()));
        return (System.nanoTime() - startNanos) / NANOS_PER_MICRO / teams;
    }

    private static double measurePollBytes() {
        ControlRequest request = ControlRequest.newBuilder()
                .setCorrelationId(1_000)
                .setRecords(RecordsRequest.newBuilder().setFromOffset(1_000_000).setMaxRecords(256))
                .build();
        ControlReply reply = ControlReply.newBuilder()
                .setCorrelationId(1_000)
                .setRecords(RecordsReply.newBuilder().setNextOffset(1_000_000).setEvidenceAgeMillis(1_000))
                .build();
        return request.getSerializedSize() + reply.getSerializedSize();
    }

    private static double measureSnapshotBytes(HistoryReplay replay) {
        HistoryRecordCodec codec = new HistoryRecordCodec();
        List<SnapshotRecord> parts =
                new SnapshotSplitter(MAX_PART_CHARACTERS).split(replay.state(), "round", "entry-1", 0);
        return parts.stream().mapToInt(part -> codec.encode(part).length).sum();
    }

    private static long usedBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
