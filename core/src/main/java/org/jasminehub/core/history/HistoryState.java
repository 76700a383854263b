package org.jasminehub.core.history;

import com.google.common.collect.ImmutableSortedMap;
import java.util.List;
import java.util.Optional;
import org.jasminehub.core.identity.TeamId;

/**
 * The documents in force after all records below an offset.
 *
 * <p>Immutable.
 *
 * @param completeTo the offset of the first record that is not included
 * @param head the head of the hash chain over accepted publishes
 * @param documents the document in force for each team
 */
public record HistoryState(long completeTo, ChainHead head, ImmutableSortedMap<TeamId, VersionedDocument> documents) {
    /** Version of a team that has no document. */
    public static final long NO_VERSION = -1;

    /** The state before any record. */
    public static final HistoryState EMPTY = new HistoryState(0, ChainHead.START, ImmutableSortedMap.of());

    /** Returns the document in force for {@code team}, if there is one. */
    public Optional<VersionedDocument> document(TeamId team) {
        return Optional.ofNullable(documents.get(team));
    }

    /** Returns the version in force for {@code team}, or {@link #NO_VERSION}. */
    public long version(TeamId team) {
        return document(team).map(VersionedDocument::version).orElse(NO_VERSION);
    }

    /** Returns the accepted documents, ordered by team. */
    public List<AcceptedDocument> sources() {
        return documents.values().stream().map(VersionedDocument::source).toList();
    }

    /** Returns the first team whose version is lower in {@code next} than in this state. */
    Optional<TeamId> firstLowered(HistoryState next) {
        return documents.keySet().stream()
                .filter(team -> next.version(team) < version(team))
                .findFirst();
    }

    HistoryState withCompleteTo(long offset) {
        return new HistoryState(offset, head, documents);
    }
}
