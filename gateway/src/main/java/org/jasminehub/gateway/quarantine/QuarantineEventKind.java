package org.jasminehub.gateway.quarantine;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Log events of the quarantine of prompts; numbers 5600 to 5699. */
public enum QuarantineEventKind implements EventKind {
    /** An endpoint cut calls before their first output and accepts no connections. */
    ENDPOINT_CRASHED(5600, Severity.WARNING, "An endpoint ended while calls waited for their first output there."),
    /** Calls with a part of a prompt are refused from now on. */
    PART_QUARANTINED(5601, Severity.WARNING, "Calls with a part of a prompt are refused because they crash endpoints."),
    /** A call with a part of a prompt produced output, so calls with it are accepted. */
    PART_CLEARED(5602, Severity.INFO, "A part of a prompt does not crash endpoints; calls with it are accepted."),
    /** A request is refused from now on. */
    REQUEST_QUARANTINED(5603, Severity.WARNING, "A request is refused because it crashes endpoints."),
    /** A request got a complete response, so it is accepted. */
    REQUEST_CLEARED(5604, Severity.INFO, "A request does not crash endpoints; it is accepted.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    QuarantineEventKind(int number, Severity severity, String meaning) {
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
