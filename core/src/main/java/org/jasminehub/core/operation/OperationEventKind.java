package org.jasminehub.core.operation;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** The events of operations that run at most once. */
public enum OperationEventKind implements EventKind {
    /** An agent learnt a new table of homes. */
    HOME_TABLE_LEARNED(7001, Severity.INFO, "An agent learnt a new table of homes."),
    /** An agent gave an operation to its service. */
    OPERATION_STARTED(7002, Severity.DETAIL, "An agent gave an operation to its service."),
    /** The run of an operation ended. */
    OPERATION_FINISHED(7003, Severity.DETAIL, "The run of an operation ended."),
    /** An agent answered about an operation without running it. */
    OPERATION_ANSWERED(7004, Severity.INFO, "An agent answered about an operation without running it."),
    /** An agent handed keys over to their new home. */
    HANDOVER_GIVEN(7005, Severity.INFO, "An agent handed keys over to their new home."),
    /** An agent took over keys from their old home. */
    HANDOVER_TAKEN(7006, Severity.INFO, "An agent took over keys from their old home."),
    /** An entry instance gave a caller the final answer about an operation. */
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
