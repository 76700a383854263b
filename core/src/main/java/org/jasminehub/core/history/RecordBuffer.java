package org.jasminehub.core.history;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * Keeps the newest consecutive records, up to a number of bytes, to answer peers.
 *
 * <p>Not thread-safe.
 */
public final class RecordBuffer {
    private final long maxBytes;
    private final Deque<OffsetRecord> records = new ArrayDeque<>();
    private long sizeBytes;
    private long nextOffset;

    /** Creates a buffer of at most {@code maxBytes}. */
    public RecordBuffer(long maxBytes) {
        this.maxBytes = Checks.positive("maxBytes", maxBytes);
    }

    /** Takes a record; one already held is skipped, and one after a hole empties the buffer first. */
    public void add(OffsetRecord record) {
        if (!records.isEmpty() && record.offset() < nextOffset) {
            return;
        }
        if (record.offset() != nextOffset) {
            clear();
        }
        records.addLast(record);
        sizeBytes += record.payload().length;
        nextOffset = record.offset() + 1;
        while (sizeBytes > maxBytes) {
            sizeBytes -= records.removeFirst().payload().length;
        }
    }

    /** Tells whether it holds every record from {@code fromOffset} up to but not including {@code toOffset}. */
    public boolean holds(long fromOffset, long toOffset) {
        return !records.isEmpty() && records.getFirst().offset() <= fromOffset && nextOffset == toOffset;
    }

    /** Returns at most {@code maxRecords} consecutive records from {@code fromOffset}, of at most {@code maxBytes} but one. */
    public List<OffsetRecord> read(long fromOffset, int maxRecords, long maxAnswerBytes) {
        List<OffsetRecord> answer = new ArrayList<>();
        long answerBytes = 0;
        for (OffsetRecord record : records) {
            if (record.offset() < fromOffset) {
                continue;
            }
            answerBytes += record.payload().length;
            boolean full = answer.size() >= maxRecords || (answerBytes > maxAnswerBytes && !answer.isEmpty());
            if (full) {
                break;
            }
            answer.add(record);
        }
        return answer;
    }

    private void clear() {
        records.clear();
        sizeBytes = 0;
    }
}
