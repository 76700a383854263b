package org.jasminehub.core.admission;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** The kinds of events emitted by admission control. */
public enum AdmissionEventKind implements EventKind {
    /** An agent refused work without running it. */
    WORK_REFUSED(6000, Severity.INFO, "An agent refused work as not run, with a time to come back.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    AdmissionEventKind(int number, Severity severity, String meaning) {
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
