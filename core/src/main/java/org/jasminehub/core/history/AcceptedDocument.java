package org.jasminehub.core.history;

import org.jasminehub.core.internal.Checks;

/**
 * The accepted document of one team.
 *
 * @param team the team's name
 * @param version the offset of the record that was accepted
 * @param baseVersion the version that it replaced, or {@link HistoryState#NO_VERSION}
 * @param nonce the nonce of the accepted record
 * @param operator who published it
 * @param documentText the document in YAML
 */
public record AcceptedDocument(
        String team, long version, long baseVersion, String nonce, String operator, String documentText) {
    /** Creates a checked document. */
    public AcceptedDocument {
        Checks.notBlank("team", team);
        Checks.notNegative("version", version);
        Checks.notBlank("nonce", nonce);
        Checks.notBlank("operator", operator);
    }
}
