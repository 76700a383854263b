package org.jasminehub.gateway.call;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Log events of calls that leave their failure domain; numbers 5800 to 5809. */
public enum SpilloverEventKind implements EventKind {
    /** Calls began or ceased to leave the local failure domain, or all of them leave it. */
    SPILLOVER_CHANGED(5800, Severity.INFO, "More or fewer calls leave the failure domain of this instance.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    SpilloverEventKind(int number, Severity severity, String meaning) {
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
