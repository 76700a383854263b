package org.jasminehub.agent.lease;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jasminehub.core.lease.LeaseRecordCodec;
import org.jasminehub.core.lease.LeaseTable;
import org.jasminehub.core.lease.OrderGate;
import org.jasminehub.core.lease.ShardId;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.platform.log.LogPage;
import org.jasminehub.platform.log.LogRecord;
import org.jasminehub.platform.log.LogService;

/**
 * Reads the end of the platform's log once after the start of the agent, and sets the lowest valid fencing numbers in
 * the gate.
 *
 * <p>The holder of a live lease has renewed it within the lease duration. The window of {@value #WINDOW_RECORDS}
 * records covers more than that duration at the highest rate of the log, so it shows every live lease, and the cost of
 * reading does not depend on the length of the log.
 *
 * <p>While the log is unavailable, the gate has no numbers and refuses every order. No lease can be renewed during that
 * time either.
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

    /** Creates a reader for {@code shards}; every use of {@code gate} must hold the monitor of {@code gate}. */
    public FencingNumberReader(LogService log, OrderGate gate, Collection<ShardId> shards) {
        this.log = log;
        this.gate = gate;
        this.shards = List.copyOf(shards);
    }

    /**
     * Reads to the current end of the log; the stage fails if the log cannot be read, and the caller may then retry.
     */
    public CompletionStage<Void> read() {
        return log.read(0, 1, NO_WAIT_MILLIS).thenCompose(this::readWindow);
    }

    private CompletionStage<Void> readWindow(LogPage bounds) {
        long startOffset = Math.max(bounds.firstOffset(), bounds.nextOffset() - WINDOW_RECORDS);
        return log.read(startOffset, MAX_RECORDS, NO_WAIT_MILLIS)
                .thenCompose(page -> readToEnd(new LeaseTable(startOffset), page, bounds.nextOffset()));
    }

    private CompletionStage<Void> readToEnd(LeaseTable table, LogPage page, long endOffset) {
        boolean hasDroppedUnreadRecords = page.firstOffset() > table.nextOffset();
        if (hasDroppedUnreadRecords) {
            return read();
        }
        for (LogRecord logRecord : page.records()) {
            codec.decode(logRecord.payload()).ifPresent(lease -> table.apply(logRecord.offset(), lease));
            table.advanceTo(logRecord.offset() + 1);
        }
        if (table.nextOffset() >= endOffset) {
            updateGate(table);
            return CompletableFuture.completedFuture(null);
        }
        if (page.records().isEmpty()) {
            // The records up to the end may hold newer leases, whose numbers are the lowest valid ones.
            return CompletableFuture.failedFuture(new PlatformException(
                    "log", "returned no record at offset " + table.nextOffset() + " of " + endOffset, null));
        }
        return log.read(table.nextOffset(), MAX_RECORDS, NO_WAIT_MILLIS)
                .thenCompose(next -> readToEnd(table, next, endOffset));
    }

    private void updateGate(LeaseTable table) {
        synchronized (gate) {
            shards.forEach(shard -> gate.raiseLowestValidNumber(shard, table.lowestValidNumber(shard)));
        }
    }
}
