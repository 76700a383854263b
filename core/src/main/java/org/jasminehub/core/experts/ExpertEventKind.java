package org.jasminehub.core.experts;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Log events about expert maps. */
public enum ExpertEventKind implements EventKind {
    /** A map change was planned or found not worthwhile. */
    PLAN_MADE(8000, Severity.INFO, "A group's load was weighed and moves were chosen or found not worth their cost."),
    /** A map change entered another phase. */
    CHANGE_PHASE(8001, Severity.INFO, "A change of a group's map went from one phase to another."),
    /** A rank of a group became unavailable. */
    GROUP_INCOMPLETE(8003, Severity.WARNING, "A rank of a group is missing; the group takes no requests."),
    /** Every rank of a group is available again. */
    GROUP_WHOLE(8004, Severity.INFO, "Every rank of a group runs on the same map; the group takes requests.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    ExpertEventKind(int number, Severity severity, String meaning) {
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
