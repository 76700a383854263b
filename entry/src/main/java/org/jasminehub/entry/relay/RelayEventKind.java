package org.jasminehub.entry.relay;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** The events of sending requests to endpoints. */
public enum RelayEventKind implements EventKind {
    /** An endpoint was chosen for an attempt. */
    ENDPOINT_CHOSEN(5001, Severity.INFO, "An endpoint was chosen for an attempt."),
    /** A request is tried again at another endpoint. */
    ATTEMPT_RETRIED(5002, Severity.WARNING, "A request is tried again at another endpoint."),
    /** An answer broke off after its head. */
    ANSWER_INTERRUPTED(5003, Severity.WARNING, "An answer broke off after its head.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    RelayEventKind(int number, Severity severity, String meaning) {
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
