package org.jasminehub.core.document;

import org.jasminehub.core.internal.Checks;

/**
 * A document and the version under which it is in force.
 *
 * @param document the document
 * @param version the log offset at which it was accepted
 */
public record DocumentInForce(TeamDocument document, long version) {
    /** Creates a checked pair. */
    public DocumentInForce {
        Checks.notNegative("version", version);
    }
}
