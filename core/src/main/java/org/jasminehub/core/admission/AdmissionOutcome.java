package org.jasminehub.core.admission;

import org.jasminehub.core.error.ErrorCode;

/** The outcome of a request for admission. */
public sealed interface AdmissionOutcome {
    /** Returns the request. */
    AdmissionRequest request();

    /** The endpoint runs the request now. */
    record Started(AdmissionRequest request) implements AdmissionOutcome {}

    /**
     * The request waits in the queue.
     *
     * @param request the request
     * @param waitMillis the expected time until it starts
     */
    record Queued(AdmissionRequest request, long waitMillis) implements AdmissionOutcome {}

    /**
     * The request was refused without being run and will not be run later.
     *
     * @param request the request
     * @param code the reason for the refusal
     * @param retryAfterMillis the time after which the caller should retry
     */
    record Refused(AdmissionRequest request, ErrorCode code, long retryAfterMillis) implements AdmissionOutcome {}
}
