package org.jasminehub.agent.operation;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.operation.AgentIncarnation;
import org.jasminehub.core.operation.AtMostOnceGuard;
import org.jasminehub.core.operation.GuardDecision;
import org.jasminehub.core.operation.LedgerLimits;
import org.jasminehub.core.operation.OperationAnswer;
import org.jasminehub.core.operation.OperationId;
import org.jasminehub.core.operation.OperationMessage;
import org.jasminehub.core.operation.OperationMessageCodec;
import org.jasminehub.core.operation.OperationResult;
import org.jasminehub.core.operation.OperationTicket;
import org.jasminehub.core.operation.OperationTimes;
import org.jasminehub.core.time.Clock;
import org.jasminehub.wire.generated.ControlFailure;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.Hello;
import org.jasminehub.wire.generated.TicketReply;

/** Synchronizes access to an agent's {@link AtMostOnceGuard} and handles operation messages. Thread-safe. */
public final class OperationGuard {
    private final AtMostOnceGuard guard;
    private final Clock clock;

    /** Creates a synchronized wrapper of {@code guard}. */
    public OperationGuard(AtMostOnceGuard guard, Clock clock) {
        this.guard = guard;
        this.clock = clock;
    }

    /** Creates the guard of {@code service} at the instance and incarnation that {@code hello} contains. */
    public static OperationGuard create(Hello hello, String service, Clock clock, EventSink events) {
        AgentIncarnation self = new AgentIncarnation(new InstanceId(hello.getInstance()), hello.getIncarnation());
        AtMostOnceGuard guard =
                new AtMostOnceGuard(self, service, OperationTimes.DEFAULT, LedgerLimits.DEFAULT, clock, events);
        return new OperationGuard(guard, clock);
    }

    /** Handles a control request of an entry instance that contains an operation message. */
    public CompletionStage<ControlReply.Builder> onRequest(ControlRequest request) {
        ControlReply.Builder reply = OperationMessageCodec.read(
                        request.getTicket().getIdempotencyKey())
                .map(this::answer)
                .map(answer -> ControlReply.newBuilder()
                        .setTicket(TicketReply.newBuilder().setTicket(OperationMessageCodec.write(answer))))
                .orElseGet(() -> ControlReply.newBuilder()
                        .setFailure(ControlFailure.newBuilder().setCode(ErrorCode.PROTOCOL_VIOLATION.code())));
        return CompletableFuture.completedFuture(reply);
    }

    synchronized GuardDecision start(OperationTicket ticket, String bodyDigest) {
        return guard.start(ticket, bodyDigest);
    }

    synchronized OperationAnswer finish(OperationId id, OperationResult result) {
        return guard.finish(id, result);
    }

    synchronized OperationAnswer finishInDoubt(OperationId id) {
        return guard.finishInDoubt(id);
    }

    synchronized OperationAnswer finishUnsent(OperationId id) {
        return guard.finishUnsent(id);
    }

    private synchronized OperationMessage answer(OperationMessage message) {
        if (message instanceof OperationMessage.AskTicket ask) {
            return new OperationMessage.Decided(guard.requestTicket(ask.id(), ask.bodyDigest()));
        }
        if (message instanceof OperationMessage.AskRevocation ask) {
            return new OperationMessage.Decided(guard.revoke(ask.id(), ask.bodyDigest()));
        }
        if (message instanceof OperationMessage.AskKey) {
            return new OperationMessage.KeyIssued(guard.issueKey().text());
        }
        if (message instanceof OperationMessage.AskHandover ask) {
            return new OperationMessage.HandoverGivenUp(guard.handOver(ask.table(), ask.to()));
        }
        if (message instanceof OperationMessage.GiveHandover give) {
            guard.receive(give.handover());
        }
        if (message instanceof OperationMessage.ShowTables shown) {
            shown.tables().forEach(guard::learn);
            if (shown.confirmedEpoch() > 0) {
                guard.confirm(shown.confirmedEpoch(), shown.confirmedMillis());
            }
        }
        return new OperationMessage.Noted(clock.monotonicMillis(), List.copyOf(guard.missingHandovers()));
    }
}
