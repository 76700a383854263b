package org.jasminehub.core.operation;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What an agent decides when it is asked about an operation. */
@JsonTypeInfo(use = JsonTypeInfo.Id.MINIMAL_CLASS)
public sealed interface GuardDecision {
    /** The operation may be started here, once, while the ticket is valid. */
    record TicketGranted(OperationTicket ticket) implements GuardDecision {}

    /** The operation must now be given to the service; this is said once for each operation. */
    record RunNow(OperationId id) implements GuardDecision {}

    /** The operation runs already; its answer is this request's answer too. */
    record AwaitRun(OperationId id) implements GuardDecision {}

    /** The answer is final. */
    record Answered(OperationAnswer answer) implements GuardDecision {}

    /** This agent is not the key's home under the table that it knows; nothing is said of the operation. */
    record WrongHome(long epoch) implements GuardDecision {}
}
