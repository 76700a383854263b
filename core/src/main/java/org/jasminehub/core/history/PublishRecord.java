package org.jasminehub.core.history;

import org.jasminehub.core.internal.Checks;

/**
 * Asks for a new version of a team's document.
 *
 * @param team the team's name
 * @param baseVersion the version that it was made from, or {@link HistoryState#NO_VERSION} for a first document
 * @param nonce a value that no other publish has, by which its writer finds it again
 * @param operator who publishes
 * @param reason why
 * @param wallMillis when, by the operator's clock; a label only
 * @param documentText the document in YAML
 */
public record PublishRecord(
        String team,
        long baseVersion,
        String nonce,
        String operator,
        String reason,
        long wallMillis,
        String documentText)
        implements HistoryRecord {
    /** Creates a checked record. */
    public PublishRecord {
        Checks.notBlank("team", team);
        Checks.that(
                baseVersion >= HistoryState.NO_VERSION, "baseVersion", baseVersion, "a version, or -1 for no version");
        Checks.notBlank("nonce", nonce);
        Checks.notBlank("operator", operator);
        Checks.notBlank("reason", reason);
    }
}
