package org.jasminehub.entry.http;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** The events of the HTTP interface. */
public enum HttpEventKind implements EventKind {
    /** A request got a problem document as its final answer. */
    REQUEST_FAILED(5010, Severity.WARNING, "A request got a problem document as its final answer.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    HttpEventKind(int number, Severity severity, String meaning) {
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
