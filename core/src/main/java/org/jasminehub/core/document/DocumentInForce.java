package org.jasminehub.core.document;

import org.jasminehub.core.internal.Checks;

/**
 * A document that is in force, with its version.
 *
 * @param document the document
 * @param version the offset of the log record with which the document was accepted
 */
public record DocumentInForce(TeamDocument document, long version) {
    /** Creates a pair and validates the version. */
    public DocumentInForce {
        Checks.notNegative("version", version);
    }
}
