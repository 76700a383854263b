package org.jasminehub.core.admission;

import org.jasminehub.core.document.Priority;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * Emitted when an agent refuses work without running it.
 *
 * @param workspace the workspace of the refused request
 * @param priority the priority of the request
 * @param code the reason for the refusal
 * @param retryAfterMillis the time after which the caller is asked to retry
 * @param queuedTokens the tokens of work in the queue
 * @param runningRequests the number of running requests
 */
public record WorkRefused(
        String workspace,
        Priority priority,
        ErrorCode code,
        long retryAfterMillis,
        long queuedTokens,
        int runningRequests)
        implements Event {
    @Override
    public EventKind kind() {
        return AdmissionEventKind.WORK_REFUSED;
    }
}
