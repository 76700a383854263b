package org.jasminehub.core.history;

import com.google.common.collect.ImmutableSortedMap;
import java.util.List;
import java.util.TreeMap;
import org.jasminehub.core.document.DocumentYamlAdapter;
import org.jasminehub.core.document.TeamDocument;
import org.jasminehub.core.error.DocumentException;
import org.jasminehub.core.identity.TeamId;

/**
 * Builds a state from the documents of a snapshot and validates each document against the schema.
 *
 * <p>Immutable.
 */
public final class HistoryStateFactory {
    private final DocumentYamlAdapter schema;

    /** Creates a factory that parses documents with {@code schema}. */
    public HistoryStateFactory(DocumentYamlAdapter schema) {
        this.schema = schema;
    }

    /**
     * Returns the state that consists of {@code documents}.
     *
     * @throws DocumentException if a document does not match the schema or is newer than the state, or if a team has
     *     two documents
     */
    public HistoryState create(long completeTo, ChainHead head, List<AcceptedDocument> documents) {
        TreeMap<TeamId, VersionedDocument> byTeam = new TreeMap<>();
        for (AcceptedDocument source : documents) {
            if (source.version() >= completeTo) {
                throw new DocumentException(source.team(), source.version(), "a version below " + completeTo);
            }
            VersionedDocument parsed = new VersionedDocument(source, parse(source.team(), source.documentText()));
            if (byTeam.put(new TeamId(source.team()), parsed) != null) {
                throw new DocumentException(source.team(), "two documents", "one document per team");
            }
        }
        return new HistoryState(completeTo, head, ImmutableSortedMap.copyOfSorted(byTeam));
    }

    /** Parses {@code text} as a document of {@code team}. */
    TeamDocument parse(String team, String text) {
        TeamDocument document = schema.read(text);
        if (!document.team().equals(team)) {
            throw new DocumentException("team", document.team(), team);
        }
        return document;
    }
}
