package org.jasminehub.core.history;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * Holds the newest consecutive records, up to a number of bytes, to serve peers that request records.
 *
 * <p>Not thread-safe.
 */
public final class RecordBuffer {
    private final long maxBytes;
    private final Deque<OffsetRecord> records = new ArrayDeque<>();
    private long sizeBytes;
    private long nextOffset;

    /** Creates a buffer for at most {@code maxBytes} of payload. */
    public RecordBuffer(long maxBytes) {
        this.maxBytes = Checks.positive("maxBytes", maxBytes);
    }

    /** Adds a record; a record already held is ignored, and a record after a gap clears the buffer first. */
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

    /** Returns whether all records from {@code fromOffset} up to but not including {@code toOffset} are held. */
    public boolean holds(long fromOffset, long toOffset) {
        return !records.isEmpty() && records.getFirst().offset() <= fromOffset && nextOffset == toOffset;
    }

    /**
     * Returns at most {@code maxRecords} consecutive records from {@code fromOffset}. Their payloads do not exceed
     * {@code maxReplyBytes} in total, except that the first record is always included.
     */
    public List<OffsetRecord> read(long fromOffset, int maxRecords, long maxReplyBytes) {
        List<OffsetRecord> reply = new ArrayList<>();
        long replyBytes = 0;
        for (OffsetRecord record : records) {
            if (record.offset() < fromOffset) {
                continue;
            }
            replyBytes += record.payload().length;
            boolean full = reply.size() >= maxRecords || (replyBytes > maxReplyBytes && !reply.isEmpty());
            if (full) {
                break;
            }
            reply.add(record);
        }
        return reply;
    }

    private void clear() {
        records.clear();
        sizeBytes = 0;
    }
}
