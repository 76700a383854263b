package org.jasminehub.core.drain;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Event kinds of drains. */
public enum DrainEventKind implements EventKind {
    /** A drain entered its next phase. */
    DRAIN_PHASE_CHANGED(7020, Severity.INFO, "A planned stop entered its next phase."),
    /** A drain ended and interrupted no request. */
    DRAIN_ENDED(7021, Severity.INFO, "A planned stop ended and cut nothing."),
    /** A drain reached its time limit with open requests or with operation keys that had not moved. */
    DRAIN_CUT_SHORT(7022, Severity.ERROR, "A planned stop reached its bound with work left.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    DrainEventKind(int number, Severity severity, String meaning) {
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
