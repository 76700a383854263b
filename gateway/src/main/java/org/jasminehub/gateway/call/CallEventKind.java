package org.jasminehub.gateway.call;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Events of calls; numbers 5500 to 5599. */
public enum CallEventKind implements EventKind {
    /** A call has its answer. */
    CALL_SERVED(5500, Severity.INFO, "An endpoint's answer was delivered whole."),
    /** A call was not served. */
    CALL_REFUSED(5501, Severity.WARNING, "A call was refused or given up; the line says why."),
    /** The caller went first. */
    CALLER_GONE(5502, Severity.INFO, "The caller closed its connection before its answer was complete."),
    /** An attempt at an endpoint failed. */
    ATTEMPT_FAILED(5503, Severity.WARNING, "An endpoint did not give a whole answer; the line says what follows."),
    /** A request could not be read. */
    REQUEST_MALFORMED(5504, Severity.WARNING, "Bytes of a caller are no request; the connection is closed.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    CallEventKind(int number, Severity severity, String meaning) {
        this.number = number;
        this.severity = severity;
        this.meaning = meaning;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Severity severity() {
        return severity;
    }

    @Override
    public String meaning() {
        return meaning;
    }
}
