package org.jasminehub.entry.control.documents;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jasminehub.core.history.HistoryRecord;
import org.jasminehub.core.history.HistoryRecordCodec;
import org.jasminehub.core.history.HistoryState;
import org.jasminehub.core.history.PublishRecord;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.platform.log.LogPage;
import org.jasminehub.platform.log.LogRecord;
import org.jasminehub.platform.log.LogService;

/** An in-memory log that can be made unavailable and can drop its oldest records. */
final class InMemoryLog implements LogService {
    private final List<byte[]> payloads = new ArrayList<>();
    private long firstOffset;
    private boolean down;
    private int reads;

    /** Publishes a document with skew weight {@code weight} based on version {@code base}; returns its offset. */
    long publish(long base, int weight) {
        String text = "schemaVersion: 1\nteam: drafts\nworkspaces: []\nroutes: []\nexperts: {skewWeight: " + weight
                + ", moveWeight: 1}\n";
        return store(new PublishRecord("drafts", base, "nonce-" + payloads.size(), "ana", "test", 0, text));
    }

    long publishFirst() {
        return publish(HistoryState.NO_VERSION, 1);
    }

    long store(HistoryRecord record) {
        payloads.add(new HistoryRecordCodec().encode(record));
        return payloads.size() - 1;
    }

    void dropBelow(long offset) {
        firstOffset = offset;
    }

    void setDown(boolean isDown) {
        down = isDown;
    }

    long nextOffset() {
        return payloads.size();
    }

    int reads() {
        return reads;
    }

    @Override
    public CompletionStage<Long> append(byte[] payload) {
        if (down) {
            return CompletableFuture.failedFuture(new PlatformException("log", "down", null));
        }
        payloads.add(payload);
        return CompletableFuture.completedFuture(payloads.size() - 1L);
    }

    @Override
    public CompletionStage<LogPage> read(long fromOffset, int maxRecords, int waitMillis) {
        reads++;
        if (down) {
            return CompletableFuture.failedFuture(new PlatformException("log", "down", null));
        }
        List<LogRecord> records = new ArrayList<>();
        for (long at = Math.max(fromOffset, firstOffset); at < payloads.size() && records.size() < maxRecords; at++) {
            records.add(new LogRecord(at, payloads.get((int) at)));
        }
        return CompletableFuture.completedFuture(new LogPage(firstOffset, payloads.size(), records));
    }
}
