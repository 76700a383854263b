package org.jasminehub.core.admission;

import org.jasminehub.core.document.Priority;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.internal.Checks;

/**
 * Work that asks for admission at an agent.
 *
 * @param key unique among the agent's present work
 * @param workspace on whose behalf it runs
 * @param weight the workspace's share relative to others
 * @param priority which work goes first
 * @param promptTokens the prompt's estimated length
 * @param maxAnswerTokens the most tokens the answer may have
 * @param deadlineMillis when the whole answer is of no use any more, on the agent's monotonic clock
 */
public record AdmissionRequest(
        long key,
        WorkspaceId workspace,
        int weight,
        Priority priority,
        long promptTokens,
        long maxAnswerTokens,
        long deadlineMillis) {
    /** Creates a checked request. */
    public AdmissionRequest {
        Checks.positive("weight", weight);
        Checks.notNegative("promptTokens", promptTokens);
        Checks.notNegative("maxAnswerTokens", maxAnswerTokens);
    }
}
