package org.jasminehub.core.operation;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** The kinds of events that concern operations that run at most once. */
public enum OperationEventKind implements EventKind {
    /** An agent received a newer home table. */
    HOME_TABLE_LEARNED(7001, Severity.INFO, "An agent learnt a new table of homes."),
    /** An agent started an operation. */
    OPERATION_STARTED(7002, Severity.DETAIL, "An agent gave an operation to its service."),
    /** The run of an operation ended. */
    OPERATION_FINISHED(7003, Severity.DETAIL, "The run of an operation ended."),
    /** An agent answered a request without running its operation. */
    OPERATION_ANSWERED(7004, Severity.INFO, "An agent answered about an operation without running it."),
    /** An agent handed keys over to their new home. */
    HANDOVER_GIVEN(7005, Severity.INFO, "An agent handed keys over to their new home."),
    /** An agent received a handover from the previous home of keys. */
    HANDOVER_TAKEN(7006, Severity.INFO, "An agent took over keys from their old home."),
    /** An entry instance determined the final answer to a caller's request. */
    OPERATION_CONCLUDED(7007, Severity.DETAIL, "An entry instance gave a caller the final answer about an operation.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    OperationEventKind(int number, Severity severity, String meaning) {
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
