package org.jasminehub.core.operation;

/** The next action of an entry instance for an operation. */
public sealed interface OperationStep {
    /** Requests a ticket from {@code home}. */
    record RequestTicket(AgentIncarnation home) implements OperationStep {}

    /** Sends the request with its ticket to the ticket's issuer. */
    record SendRequest(OperationTicket ticket) implements OperationStep {}

    /** Requests a revocation from {@code home}, on a new connection if the previous one was lost. */
    record RequestRevocation(AgentIncarnation home) implements OperationStep {}

    /** Does nothing; the event was not the one that the call is waiting for. */
    record Wait() implements OperationStep {}

    /** Sends the final answer to the caller. */
    record AnswerCaller(OperationAnswer answer) implements OperationStep {}
}
