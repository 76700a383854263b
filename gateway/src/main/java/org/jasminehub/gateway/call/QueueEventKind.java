package org.jasminehub.gateway.call;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Log events of the queues that instances share; numbers 6800 to 6809. */
public enum QueueEventKind implements EventKind {
    /** Enough entry instances are known, or no longer. */
    QUEUES_SHARED(6800, Severity.INFO, "Queued calls are ordered across all instances from now on, or no longer."),
    /** A peer sent a status with impossible counts; logged once until a valid one arrives. */
    QUEUE_STATUS_REJECTED(6801, Severity.WARNING, "The queues in a peer's statuses are invalid and left out.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    QueueEventKind(int number, Severity severity, String meaning) {
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
