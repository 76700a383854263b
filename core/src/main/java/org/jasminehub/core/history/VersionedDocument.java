package org.jasminehub.core.history;

import org.jasminehub.core.document.TeamDocument;

/**
 * The parsed document in force of a team.
 *
 * @param source the accepted document with its YAML text
 * @param document the parsed document
 */
public record VersionedDocument(AcceptedDocument source, TeamDocument document) {
    /** Returns the version in force. */
    public long version() {
        return source.version();
    }
}
