package org.jasminehub.core.admission;

import org.jasminehub.core.document.Priority;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * An agent refused work as not run.
 *
 * @param workspace on whose behalf it would have run
 * @param priority its priority
 * @param code why it was refused
 * @param retryAfterMillis when the caller is asked to come back, from now
 * @param queuedTokens tokens of work that wait
 * @param runningRequests requests that run
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
