package org.jasminehub.core.retry;

import org.jasminehub.core.document.RouteRule;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.identity.WorkspaceId;

/**
 * An attempt that gave no whole answer.
 *
 * @param subject whose request it is and how it is treated
 * @param attempts how many attempts were made, this one included
 * @param code why it failed
 * @param outcome what is known of its effect
 * @param remainingMillis how long until the request's deadline
 * @param estimateMillis how long a further attempt would take until its first token
 */
public record FailedAttempt(
        Subject subject, int attempts, ErrorCode code, Outcome outcome, long remainingMillis, long estimateMillis) {
    /**
     * Whose request it is and how it is treated.
     *
     * @param workspace on whose behalf it runs
     * @param route the route that took it
     */
    public record Subject(WorkspaceId workspace, RouteRule route) {}
}
