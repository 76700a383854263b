package org.jasminehub.core.admission;

import org.jasminehub.core.document.Priority;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.internal.Checks;

/**
 * A request for admission at an agent.
 *
 * @param key the key of the request, unique among the current requests of the agent
 * @param workspace the workspace on whose behalf the request runs
 * @param weight the weight of the workspace relative to others
 * @param priority the priority of the request
 * @param promptTokens the estimated length of the prompt
 * @param maxAnswerTokens the maximum length of the answer
 * @param deadlineMillis the deadline for the complete answer, on the agent's monotonic clock
 */
public record AdmissionRequest(
        long key,
        WorkspaceId workspace,
        int weight,
        Priority priority,
        long promptTokens,
        long maxAnswerTokens,
        long deadlineMillis) {
    /** Creates a request; {@code weight} must be positive, and lengths must not be negative. */
    public AdmissionRequest {
        Checks.positive("weight", weight);
        Checks.notNegative("promptTokens", promptTokens);
        Checks.notNegative("maxAnswerTokens", maxAnswerTokens);
    }
}
