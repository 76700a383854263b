package org.jasminehub.agent.engine;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** The kinds of events that concern calls to the endpoint. */
public enum EngineEventKind implements EventKind {
    /** The endpoint did not send a complete response to a call. */
    ENDPOINT_CALL_FAILED(5050, Severity.WARNING, "The endpoint gave no whole answer to a call.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    EngineEventKind(int number, Severity severity, String meaning) {
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
