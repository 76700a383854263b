package org.jasminehub.core.retry;

import org.jasminehub.core.document.RouteRule;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.identity.WorkspaceId;

/**
 * An attempt that did not produce a complete response.
 *
 * @param subject the workspace and the route of the request
 * @param attempts the number of attempts made, including this one
 * @param code the reason for the failure
 * @param outcome whether the request was executed, as far as it is known
 * @param remainingMillis the time until the deadline of the request
 * @param estimateMillis the estimated time until the first token of a further attempt
 */
public record FailedAttempt(
        Subject subject, int attempts, ErrorCode code, Outcome outcome, long remainingMillis, long estimateMillis) {
    /**
     * The workspace and the route of a request.
     *
     * @param workspace the workspace on whose behalf the request runs
     * @param route the route that matched the request
     */
    public record Subject(WorkspaceId workspace, RouteRule route) {}
}
