package org.jasminehub.core.operation;

/** The state of an operation in an agent's ledger. */
public enum OperationState {
    /** The operation was started, and the service has not responded. */
    RUNNING,
    /** The service responded. */
    DONE,
    /** The operation has not run and never will. */
    REVOKED,
    /** The request may have reached the service, and the response was lost. */
    IN_DOUBT
}
