package org.jasminehub.core.history;

import org.jasminehub.core.internal.Checks;

/**
 * A request to publish a new version of a team's document.
 *
 * @param team the name of the team
 * @param baseVersion the version that the document is based on, or {@link HistoryState#NO_VERSION} for the first one
 * @param nonce a unique value by which the publisher finds the record in the log
 * @param operator the operator who publishes
 * @param reason the reason for the change
 * @param wallMillis the wall-clock time on the operator's machine; informational only
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
    /** Validates the components. */
    public PublishRecord {
        Checks.notBlank("team", team);
        Checks.that(
                baseVersion >= HistoryState.NO_VERSION, "baseVersion", baseVersion, "a version, or -1 for no version");
        Checks.notBlank("nonce", nonce);
        Checks.notBlank("operator", operator);
        Checks.notBlank("reason", reason);
    }
}
