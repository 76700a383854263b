package org.jasminehub.core.history;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * Splits a state into snapshot parts that each fit into one record of the log.
 *
 * <p>A document that is longer than the limit becomes a part of its own. Immutable.
 */
public final class SnapshotSplitter {
    private final int maxPartCharacters;

    /** Creates a splitter with at most {@code maxPartCharacters} of document text in each part. */
    public SnapshotSplitter(int maxPartCharacters) {
        this.maxPartCharacters = (int) Checks.positive("maxPartCharacters", maxPartCharacters);
    }

    /** Returns the parts of a snapshot of {@code state} by {@code writer}, with {@code round} as its identifier. */
    public List<SnapshotRecord> split(HistoryState state, String round, String writer, long wallMillis) {
        List<List<AcceptedDocument>> partitions = partitionDocuments(state.sources());
        List<SnapshotRecord> parts = new ArrayList<>();
        for (List<AcceptedDocument> partition : partitions) {
            parts.add(new SnapshotRecord(
                    round,
                    writer,
                    wallMillis,
                    state.completeTo(),
                    state.head(),
                    parts.size(),
                    partitions.size(),
                    partition));
        }
        return parts;
    }

    private List<List<AcceptedDocument>> partitionDocuments(List<AcceptedDocument> documents) {
        List<List<AcceptedDocument>> partitions = new ArrayList<>();
        List<AcceptedDocument> partition = new ArrayList<>();
        int characters = 0;
        for (AcceptedDocument document : documents) {
            int length = document.documentText().length();
            if (!partition.isEmpty() && characters + length > maxPartCharacters) {
                partitions.add(partition);
                partition = new ArrayList<>();
                characters = 0;
            }
            partition.add(document);
            characters += length;
        }
        partitions.add(partition);
        return partitions;
    }
}
