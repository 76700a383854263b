package org.jasminehub.core.operation;

/** What an agent remembers of an operation. */
public enum OperationState {
    /** It was given to the service, which has not answered. */
    RUNNING,
    /** The service answered. */
    DONE,
    /** It never ran and never will. */
    REVOKED,
    /** It was given to a service, and the answer was lost. */
    IN_DOUBT
}
