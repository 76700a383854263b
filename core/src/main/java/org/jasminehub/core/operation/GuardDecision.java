package org.jasminehub.core.operation;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** An agent's decision on a ticket request, a start or a revocation of an operation. */
@JsonTypeInfo(use = JsonTypeInfo.Id.MINIMAL_CLASS)
public sealed interface GuardDecision {
    /** The operation may be started once at this agent while the ticket is valid. */
    record TicketGranted(OperationTicket ticket) implements GuardDecision {}

    /** The request must now be sent to the service; returned at most once per operation. */
    record RunNow(OperationId id) implements GuardDecision {}

    /** The operation is already running; its answer also answers this request. */
    record AwaitRun(OperationId id) implements GuardDecision {}

    /** The operation has a final answer. */
    record Answered(OperationAnswer answer) implements GuardDecision {}

    /** This agent is not the key's home in its newest home table; the decision implies nothing about the operation. */
    record WrongHome(long epoch) implements GuardDecision {}
}
