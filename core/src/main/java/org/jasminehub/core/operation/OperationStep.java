package org.jasminehub.core.operation;

/** What an entry instance does next for an operation. */
public sealed interface OperationStep {
    /** Ask {@code home} for a ticket. */
    record RequestTicket(AgentIncarnation home) implements OperationStep {}

    /** Send the request with its ticket. */
    record SendRequest(OperationTicket ticket) implements OperationStep {}

    /** Ask {@code home} to revoke the operation, on a new connection where the old one is lost. */
    record RequestRevocation(AgentIncarnation home) implements OperationStep {}

    /** Nothing; an event came that the call no longer waits for. */
    record Wait() implements OperationStep {}

    /** Give the caller its final answer. */
    record AnswerCaller(OperationAnswer answer) implements OperationStep {}
}
