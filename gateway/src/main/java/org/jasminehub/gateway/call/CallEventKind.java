package org.jasminehub.gateway.call;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Log events of calls; numbers 5500 to 5599. */
public enum CallEventKind implements EventKind {
    /** The complete response of an endpoint was delivered to the caller. */
    CALL_SERVED(5500, Severity.INFO, "An endpoint's answer was delivered whole."),
    /** The call was refused or failed. */
    CALL_REFUSED(5501, Severity.WARNING, "A call was refused or given up; the line says why."),
    /** The caller disconnected before the response was complete. */
    CALLER_GONE(5502, Severity.INFO, "The caller closed its connection before its answer was complete."),
    /** An attempt ended without a response that can be delivered. */
    ATTEMPT_FAILED(5503, Severity.WARNING, "An endpoint did not give a whole answer; the line says what follows."),
    /** The request is not valid HTTP or exceeds a limit. */
    REQUEST_MALFORMED(5504, Severity.WARNING, "Bytes of a caller are no request; the connection is closed."),
    /** The process ended while the call was open. */
    CALL_CUT(5505, Severity.WARNING, "The process ended before the call had its complete answer.");

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
