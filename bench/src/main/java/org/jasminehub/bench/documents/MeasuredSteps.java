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
 * What one record, document, poll and snapshot cost on this machine.
 *
 * @param recordBytes the bytes of a publish in the log
 * @param decideMicros processor time to read and decide on a publish
 * @param documentBytes memory of one document in force, with its text and its parsed form
 * @param emptyPollBytes bytes of a poll that finds nothing new, both ways
 * @param snapshotBytes bytes of a snapshot of all teams, in all its parts
 */
record MeasuredSteps(
        double recordBytes, double decideMicros, double documentBytes, double emptyPollBytes, double snapshotBytes) {
    private static final int WARM_UP_ROUNDS = 4;
    private static final int MAX_PART_CHARACTERS = 64 * 1024;
    private static final int COLLECTIONS = 4;
    private static final double NANOS_PER_MICRO = 1_000;

    /** Measures with documents of {@code teams}. */
    static MeasuredSteps measure(int teams) {
        List<OffsetRecord> first = SampleHistory.records(teams, 1);
        double recordBytes = first.stream()
                .mapToInt(record -> record.payload().length)
                .average()
                .orElse(0);
        double decideMicros = measureDecideMicros(SampleHistory.records(teams, WARM_UP_ROUNDS + 1), teams);
        long usedBefore = usedBytes();
        HistoryReplay replay = new HistoryReplay(new DocumentYamlAdapter());
        replay.applyLogPage(0, first);
        double documentBytes = (double) (usedBytes() - usedBefore) / teams;
        return new MeasuredSteps(
                recordBytes, decideMicros, documentBytes, measurePollBytes(), measureSnapshotBytes(replay));
    }

    private static double measureDecideMicros(List<OffsetRecord> records, int teams) {
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
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
