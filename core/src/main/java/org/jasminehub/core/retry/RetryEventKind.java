package org.jasminehub.core.retry;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Event kinds of retries and outlier detection. */
public enum RetryEventKind implements EventKind {
    /** An endpoint was ejected temporarily. */
    ENDPOINT_EJECTED(
            6200,
            Severity.WARNING,
            "An endpoint is left out for a while, since it failed far more often than the others.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    RetryEventKind(int number, Severity severity, String meaning) {
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
