package org.jasminehub.core.event;

/** How much an operator should care about an event. */
public enum Severity {
    /** One of many; read when a request is followed. */
    DETAIL,
    /** A normal change of state or a decision. */
    INFO,
    /** Something failed and was handled. */
    WARNING,
    /** Something failed that an operator must look into. */
    ERROR
}
