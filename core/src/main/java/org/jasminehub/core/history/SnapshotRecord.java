package org.jasminehub.core.history;

import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * One part of a snapshot: some of the documents in force after all records below {@code completeTo}.
 *
 * @param round the unique identifier of the snapshot, which all its parts share
 * @param writer the instance that wrote the snapshot
 * @param wallMillis the wall-clock time of the writer; only used to estimate the age of the snapshot
 * @param completeTo the offset of the first record that is not included
 * @param head the head of the hash chain at {@code completeTo}
 * @param part the number of this part, from 0
 * @param partCount the number of parts of the snapshot
 * @param documents the documents in this part
 */
public record SnapshotRecord(
        String round,
        String writer,
        long wallMillis,
        long completeTo,
        ChainHead head,
        int part,
        int partCount,
        List<AcceptedDocument> documents)
        implements HistoryRecord {
    /** Validates the components and copies the documents. */
    public SnapshotRecord {
        Checks.notBlank("round", round);
        Checks.notBlank("writer", writer);
        Checks.notNegative("completeTo", completeTo);
        Checks.positive("partCount", partCount);
        Checks.inRange("part", part, 0, partCount - 1);
        documents = List.copyOf(documents);
    }
}
