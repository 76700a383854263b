package org.jasminehub.agent.lease;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jasminehub.core.lease.LeaseRecordCodec;
import org.jasminehub.core.lease.LeaseTable;
import org.jasminehub.core.lease.OrderGate;
import org.jasminehub.core.lease.ShardId;
import org.jasminehub.platform.log.LogPage;
import org.jasminehub.platform.log.LogRecord;
import org.jasminehub.platform.log.LogService;

/**
 * Reads the end of the platform's log, once after the agent's start, and teaches the gate the lowest valid numbers.
 *
 * <p>The holder of a live lease has renewed it within the lease's duration, so a window of records that is longer than
 * that at the log's highest rate shows every live lease, and the log's length does not matter.
 *
 * <p>While the log is down nothing is learnt, so no order is taken; no lease can be renewed then either.
 *
 * <pre>{@code
 * new FencingNumberReader(log, gate, shards).read();
 * }</pre>
 */
public final class FencingNumberReader {
    private static final int MAX_RECORDS = 256;
    private static final int WINDOW_RECORDS = 10_000;
    private static final int NO_WAIT_MILLIS = 0;

    private final LogService log;
    private final OrderGate gate;
    private final List<ShardId> shards;
    private final LeaseRecordCodec codec = new LeaseRecordCodec();

    /** Creates a reader for {@code shards}; all use of {@code gate} must hold its lock. */
    public FencingNumberReader(LogService log, OrderGate gate, Collection<ShardId> shards) {
        this.log = log;
        this.gate = gate;
        this.shards = List.copyOf(shards);
    }

    /** Reads to the end that the log has now; the stage fails where the log does, and the caller may try again. */
    public CompletionStage<Void> read() {
        return log.read(0, 1, NO_WAIT_MILLIS).thenCompose(this::readWindow);
    }

    private CompletionStage<Void> readWindow(LogPage bounds) {
        long startOffset = Math.max(bounds.firstOffset(), bounds.nextOffset() - WINDOW_RECORDS);
        return log.read(startOffset, MAX_RECORDS, NO_WAIT_MILLIS)
                .thenCompose(page -> readOn(new LeaseTable(startOffset), page, bounds.nextOffset()));
    }

    private CompletionStage<Void> readOn(LeaseTable table, LogPage page, long endOffset) {
        boolean hasDroppedUnreadRecords = page.firstOffset() > table.nextOffset();
        if (hasDroppedUnreadRecords) {
            return read();
        }
        for (LogRecord logRecord : page.records()) {
            codec.decode(logRecord.payload()).ifPresent(lease -> table.apply(logRecord.offset(), lease));
            table.advanceTo(logRecord.offset() + 1);
        }
        boolean isAtEnd = page.records().isEmpty() || table.nextOffset() >= endOffset;
        if (isAtEnd) {
            teach(table);
            return CompletableFuture.completedFuture(null);
        }
        return log.read(table.nextOffset(), MAX_RECORDS, NO_WAIT_MILLIS)
                .thenCompose(next -> readOn(table, next, endOffset));
    }

    private void teach(LeaseTable table) {
        synchronized (gate) {
            shards.forEach(shard -> gate.raiseLowestValidNumber(shard, table.lowestValidNumber(shard)));
        }
    }
}
