package org.jasminehub.core.history;

import org.jasminehub.core.document.TeamDocument;

/**
 * A document in force, parsed.
 *
 * @param source the accepted record's fields
 * @param document what its text describes
 */
public record VersionedDocument(AcceptedDocument source, TeamDocument document) {
    /** Returns the version in force. */
    public long version() {
        return source.version();
    }
}
