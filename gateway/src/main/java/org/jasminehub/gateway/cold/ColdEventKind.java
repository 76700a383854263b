package org.jasminehub.gateway.cold;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Log events about cold endpoints; numbers 3520 to 3529. */
public enum ColdEventKind implements EventKind {
    /** An endpoint is cold or must be treated as cold. */
    ENDPOINT_COLD(3520, Severity.INFO, "An endpoint is cold, or may be; it gets few requests from all instances."),
    /** The cold time of an endpoint is over. */
    ENDPOINT_WARM(3521, Severity.INFO, "An endpoint is no longer cold; calls to it increase gradually."),
    /** A stated or configured cold time or rate cannot be used as it is. */
    COLD_VALUE_ADJUSTED(
            3522, Severity.WARNING, "A cold time or rate is malformed, missing or too large; a safe one is used.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    ColdEventKind(int number, Severity severity, String meaning) {
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
