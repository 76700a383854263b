package org.jasminehub.core.history;

import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * One part of a snapshot: a share of the documents in force after every record below {@code completeTo}.
 *
 * @param round a value that all parts of one snapshot share and no other snapshot has
 * @param writer the instance that wrote it
 * @param wallMillis when, by the writer's clock; a hint of its age only
 * @param completeTo the offset of the first record that it leaves out
 * @param head the head of the hash chain at {@code completeTo}
 * @param part this part's number, from 0
 * @param partCount how many parts the snapshot has
 * @param documents this part's documents
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
    /** Creates a checked part. */
    public SnapshotRecord {
        Checks.notBlank("round", round);
        Checks.notBlank("writer", writer);
        Checks.notNegative("completeTo", completeTo);
        Checks.positive("partCount", partCount);
        Checks.inRange("part", part, 0, partCount - 1);
        documents = List.copyOf(documents);
    }
}
