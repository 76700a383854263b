package org.jasminehub.core.history;

import org.jasminehub.core.internal.Checks;

/**
 * An accepted document of a team, in the fields of the publish that was accepted.
 *
 * @param team the name of the team
 * @param version the version, which is the offset of the accepted record
 * @param baseVersion the version that this document replaced, or {@link HistoryState#NO_VERSION}
 * @param nonce the nonce of the accepted record
 * @param operator the operator who published the document
 * @param documentText the document in YAML
 */
public record AcceptedDocument(
        String team, long version, long baseVersion, String nonce, String operator, String documentText) {
    /** Validates the components. */
    public AcceptedDocument {
        Checks.notBlank("team", team);
        Checks.notNegative("version", version);
        Checks.notBlank("nonce", nonce);
        Checks.notBlank("operator", operator);
    }
}
