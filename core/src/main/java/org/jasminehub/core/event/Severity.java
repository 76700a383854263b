package org.jasminehub.core.event;

/** The severity of an event for operators. */
public enum Severity {
    /** A frequent event, of use when a single request is traced. */
    DETAIL,
    /** A normal change of state or a decision. */
    INFO,
    /** A failure that was handled. */
    WARNING,
    /** A failure that an operator must investigate. */
    ERROR
}
