package org.jasminehub.core.operation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Optional;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class OperationCallTest {
    private static final long DEADLINE_MILLIS = 100;
    private static final GuardDecision NOT_RUN =
            new GuardDecision.Answered(OperationAnswer.notRun(ErrorCode.OPERATION_REVOKED));

    private final ManualClock clock = new ManualClock(0);
    private final AgentIncarnation home = new AgentIncarnation(new InstanceId("home"), 1);
    private final OperationId id = new OperationId(new WorkspaceId("herd"), "bookings", "k");
    private final OperationTicket ticket = new OperationTicket(home, id, 50);
    private HomeTable table = new HomeTable("bookings", 1, List.of(home));
    private final OperationCall call =
            new OperationCall(id, DEADLINE_MILLIS, () -> Optional.of(table), clock, event -> {});

    private static OperationAnswer answer(OperationStep step) {
        return assertInstanceOf(OperationStep.AnswerCaller.class, step).answer();
    }

    @Test
    void testConnectionLossBeforeTicketAnswersUnknown() {
        call.begin();
        assertEquals(Outcome.UNKNOWN, answer(call.onHomeLost()).outcome());
    }

    @Test
    void testConnectionLossAfterSendRequestsRevocation() {
        call.begin();
        call.onTicketReply(new GuardDecision.TicketGranted(ticket));
        assertEquals(new OperationStep.RequestRevocation(home), call.onHomeLost());
        assertEquals(OperationAnswer.notRun(ErrorCode.ENDPOINT_FAILED), answer(call.onRevocationReply(NOT_RUN)));
    }

    @Test
    void testTicketReceivedAfterDeadlineIsNotUsed() {
        call.begin();
        clock.advanceMillis(DEADLINE_MILLIS);
        assertEquals(
                Outcome.UNKNOWN,
                answer(call.onTicketReply(new GuardDecision.TicketGranted(ticket)))
                        .outcome());
    }

    @Test
    void testNotRunReceivedAfterDeadlineAnswersUnknown() {
        call.beginRefused(ErrorCode.LIMIT_EXCEEDED);
        clock.advanceMillis(DEADLINE_MILLIS);
        assertEquals(Outcome.UNKNOWN, answer(call.onRevocationReply(NOT_RUN)).outcome());
    }

    @Test
    void testRefusedRequestAnswersNotRunOnlyAfterRevocation() {
        assertEquals(new OperationStep.RequestRevocation(home), call.beginRefused(ErrorCode.LIMIT_EXCEEDED));
        assertEquals(OperationAnswer.notRun(ErrorCode.LIMIT_EXCEEDED), answer(call.onRevocationReply(NOT_RUN)));
    }

    @Test
    void testWrongHomeIsRetriedOnlyWithNewerTable() {
        call.begin();
        AgentIncarnation next = new AgentIncarnation(new InstanceId("next"), 1);
        table = new HomeTable("bookings", 2, List.of(next));
        assertEquals(new OperationStep.RequestTicket(next), call.onTicketReply(new GuardDecision.WrongHome(2)));
        assertEquals(
                ErrorCode.NOT_READY,
                answer(call.onTicketReply(new GuardDecision.WrongHome(3))).code());
    }
}
