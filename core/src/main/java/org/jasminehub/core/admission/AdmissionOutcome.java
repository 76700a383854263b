package org.jasminehub.core.admission;

import org.jasminehub.core.error.ErrorCode;

/** What became of a request that asked for admission. */
public sealed interface AdmissionOutcome {
    /** Returns the request. */
    AdmissionRequest request();

    /** The endpoint runs it now. */
    record Started(AdmissionRequest request) implements AdmissionOutcome {}

    /**
     * It waits.
     *
     * @param request the request
     * @param waitMillis how long it is expected to wait
     */
    record Queued(AdmissionRequest request, long waitMillis) implements AdmissionOutcome {}

    /**
     * It did not run and never will.
     *
     * @param request the request
     * @param code why
     * @param retryAfterMillis when to come back, from now
     */
    record Refused(AdmissionRequest request, ErrorCode code, long retryAfterMillis) implements AdmissionOutcome {}
}
