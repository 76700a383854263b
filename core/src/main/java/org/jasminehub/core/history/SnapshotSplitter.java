package org.jasminehub.core.history;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * Cuts a state into parts that each fit into one record of the log.
 *
 * <p>A document longer than the limit gets a part of its own. Immutable.
 */
public final class SnapshotSplitter {
    private final int maxPartCharacters;

    /** Creates a splitter that puts at most {@code maxPartCharacters} of documents into a part. */
    public SnapshotSplitter(int maxPartCharacters) {
        this.maxPartCharacters = (int) Checks.positive("maxPartCharacters", maxPartCharacters);
    }

    /** Returns the parts of the snapshot {@code round} that {@code writer} writes of {@code state}. */
    public List<SnapshotRecord> split(HistoryState state, String round, String writer, long wallMillis) {
        List<List<AcceptedDocument>> shares = sharesOf(state.sources());
        List<SnapshotRecord> parts = new ArrayList<>();
        for (List<AcceptedDocument> share : shares) {
            parts.add(new SnapshotRecord(
                    round, writer, wallMillis, state.completeTo(), state.head(), parts.size(), shares.size(), share));
        }
        return parts;
    }

    private List<List<AcceptedDocument>> sharesOf(List<AcceptedDocument> documents) {
        List<List<AcceptedDocument>> shares = new ArrayList<>();
        List<AcceptedDocument> share = new ArrayList<>();
        int characters = 0;
        for (AcceptedDocument document : documents) {
            int length = document.documentText().length();
            if (!share.isEmpty() && characters + length > maxPartCharacters) {
                shares.add(share);
                share = new ArrayList<>();
                characters = 0;
            }
            share.add(document);
            characters += length;
        }
        shares.add(share);
        return shares;
    }
}
