package org.jasminehub.wire;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** The log events of the transport between processes. */
public enum WireEventKind implements EventKind {
    /** A peer's connection was closed because of what it sent. */
    PEER_REJECTED(1020, Severity.WARNING, "A peer's connection was closed because of what it sent.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    WireEventKind(int number, Severity severity, String meaning) {
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
