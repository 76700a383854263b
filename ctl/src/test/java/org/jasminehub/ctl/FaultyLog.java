package org.jasminehub.ctl;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jasminehub.core.history.HistoryRecord;
import org.jasminehub.core.history.HistoryRecordCodec;
import org.jasminehub.core.history.HistoryState;
import org.jasminehub.core.history.SnapshotSplitter;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.platform.log.LogPage;
import org.jasminehub.platform.log.LogRecord;
import org.jasminehub.platform.log.LogService;

/** An in-memory log with simulated failures: lost, duplicated and delayed appends, failed reads, and truncation. */
final class FaultyLog implements LogService {
    /** The simulated failure of an append. */
    enum AppendFault {
        NONE,
        REQUEST_LOST,
        RESPONSE_LOST,
        STORED_TWICE,
        DELAYED
    }

    private final ManualClock clock;
    private final List<byte[]> payloads = new ArrayList<>();
    private final List<byte[]> delayed = new ArrayList<>();
    private long firstOffset;
    private int failingReads;
    private AppendFault fault = AppendFault.NONE;
    private Runnable beforeAppend = () -> {};
    private int appends;

    FaultyLog(ManualClock clock) {
        this.clock = clock;
    }

    long store(HistoryRecord record) {
        return store(new HistoryRecordCodec().encode(record));
    }

    long store(byte[] payload) {
        payloads.add(payload);
        return payloads.size() - 1;
    }

    void storeSnapshot(HistoryState state) {
        new SnapshotSplitter(1_000).split(state, "round", "entry-1", 0).forEach(this::store);
    }

    void truncateBefore(long offset) {
        firstOffset = offset;
    }

    void failReads(int count) {
        failingReads = count;
    }

    void failAppend(AppendFault nextFault) {
        fault = nextFault;
    }

    void runBeforeAppend(Runnable action) {
        beforeAppend = action;
    }

    void storeDelayed() {
        delayed.forEach(this::store);
        delayed.clear();
    }

    int appends() {
        return appends;
    }

    @Override
    public CompletionStage<Long> append(byte[] payload) {
        appends++;
        beforeAppend.run();
        AppendFault currentFault = fault;
        fault = AppendFault.NONE;
        return switch (currentFault) {
            case NONE -> CompletableFuture.completedFuture(store(payload));
            case REQUEST_LOST -> failed();
            case RESPONSE_LOST -> {
                store(payload);
                yield failed();
            }
            case STORED_TWICE -> {
                store(payload);
                yield CompletableFuture.completedFuture(store(payload));
            }
            case DELAYED -> {
                delayed.add(payload);
                yield failed();
            }
        };
    }

    @Override
    public CompletionStage<LogPage> read(long fromOffset, int maxRecords, int waitMillis) {
        if (failingReads > 0) {
            failingReads--;
            return failed();
        }
        List<LogRecord> records = new ArrayList<>();
        for (long at = Math.max(fromOffset, firstOffset); at < payloads.size() && records.size() < maxRecords; at++) {
            records.add(new LogRecord(at, payloads.get((int) at)));
        }
        if (records.isEmpty()) {
            clock.advanceMillis(waitMillis);
        }
        return CompletableFuture.completedFuture(new LogPage(firstOffset, payloads.size(), records));
    }

    private static <T> CompletionStage<T> failed() {
        return CompletableFuture.failedFuture(new PlatformException("log", "no answer", null));
    }
}
