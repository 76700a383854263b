package org.jasminehub.agent.operation;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jasminehub.agent.call.AgentCall;
import org.jasminehub.agent.call.CallFilter;
import org.jasminehub.agent.call.CallHandler;
import org.jasminehub.agent.engine.EndpointClient;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.core.operation.GuardDecision;
import org.jasminehub.core.operation.OperationAnswer;
import org.jasminehub.core.operation.OperationDigest;
import org.jasminehub.core.operation.OperationId;
import org.jasminehub.core.operation.OperationMessageCodec;
import org.jasminehub.core.operation.OperationResult;
import org.jasminehub.core.operation.OperationTicket;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.Header;
import org.jspecify.annotations.Nullable;

/**
 * Runs the operations of calls that carry a ticket at most once and answers retries from the recorded result. Passes on
 * calls without a ticket.
 *
 * <p>A run that has started continues even if the caller's connection is lost, so that a retry receives its result. The
 * headers of the call, which include the ticket, are not sent to the service. Thread-safe.
 */
public final class OperationFilter implements CallFilter {
    private static final int BODY_TIMEOUT_MILLIS = 30_000;

    private final ActorSystem<?> system;
    private final EndpointClient client;
    private final OperationGuard guard;
    private final Predicate<Throwable> isUnsent;
    private final Map<OperationId, List<AgentCall>> waiting = new HashMap<>();

    /**
     * Creates a filter; {@code isUnsent} accepts failures after which no byte of a request can have reached the
     * service.
     */
    public OperationFilter(
            ActorSystem<?> system, EndpointClient client, OperationGuard guard, Predicate<Throwable> isUnsent) {
        this.system = system;
        this.client = client;
        this.guard = guard;
        this.isUnsent = isUnsent;
    }

    /** Returns the number of operations that are running, whether or not a call still waits for their results. */
    public synchronized int runningOperations() {
        return waiting.size();
    }

    @Override
    public void handle(AgentCall call, CallHandler next) {
        Optional<OperationTicket> ticket = ticketOf(call.start());
        if (ticket.isEmpty()) {
            next.handle(call);
            return;
        }
        GuardDecision decision = startOrWait(ticket.get(), call);
        if (decision instanceof GuardDecision.RunNow run) {
            run(run.id(), call.start());
        } else if (decision instanceof GuardDecision.Answered answered) {
            answer(call, answered.answer());
        } else if (decision instanceof GuardDecision.WrongHome) {
            answer(call, OperationAnswer.unknown(ErrorCode.HOME_UNSETTLED));
        }
    }

    private synchronized GuardDecision startOrWait(OperationTicket ticket, AgentCall call) {
        CallStart start = call.start();
        String digest = OperationDigest.of(
                start.getMethod(), start.getPath(), start.getBody().toByteArray());
        GuardDecision decision = guard.start(ticket, digest);
        if (decision instanceof GuardDecision.RunNow || decision instanceof GuardDecision.AwaitRun) {
            waiting.computeIfAbsent(ticket.id(), id -> new ArrayList<>()).add(call);
        }
        return decision;
    }

    private void run(OperationId id, CallStart start) {
        CallStart withoutHeaders = start.toBuilder().clearHeaders().build();
        client.send(withoutHeaders)
                .thenCompose(response -> response.entity()
                        .toStrict(BODY_TIMEOUT_MILLIS, system)
                        .thenApply(body -> resultOf(response, body)))
                .whenComplete((result, failure) -> complete(id, result, failure));
    }

    private static OperationResult resultOf(HttpResponse response, HttpEntity.Strict body) {
        return new OperationResult(
                response.status().intValue(),
                body.getContentType().toString(),
                body.getData().toArray());
    }

    private void complete(OperationId id, @Nullable OperationResult result, @Nullable Throwable failure) {
        OperationAnswer answer;
        List<AgentCall> calls;
        synchronized (this) {
            answer = answerOf(id, result, failure);
            calls = Optional.ofNullable(waiting.remove(id)).orElse(List.of());
        }
        calls.forEach(call -> answer(call, answer));
    }

    private OperationAnswer answerOf(OperationId id, @Nullable OperationResult result, @Nullable Throwable failure) {
        if (result != null) {
            return guard.finish(id, result);
        }
        return failure != null && isUnsent.test(failure) ? guard.finishUnsent(id) : guard.finishInDoubt(id);
    }

    private static void answer(AgentCall call, OperationAnswer answer) {
        OperationResult result = answer.result();
        if (result == null) {
            ErrorCode code = answer.code() == null ? ErrorCode.OUTCOME_UNKNOWN : answer.code();
            call.refuse(code, answer.outcome(), RequestException.NO_RETRY, messageOf(answer.outcome()));
            return;
        }
        Header contentType = Header.newBuilder()
                .setName("content-type")
                .setValue(result.contentType())
                .build();
        call.head(result.status(), List.of(contentType));
        if (result.body().length > 0 && call.takeCredit()) {
            call.chunk(ByteString.copyFrom(result.body()));
        }
        call.end();
    }

    private static String messageOf(Outcome outcome) {
        return outcome == Outcome.NOT_RUN ? "the operation did not run" : "the operation may have run";
    }

    private static Optional<OperationTicket> ticketOf(CallStart start) {
        return start.getHeadersList().stream()
                .filter(header -> header.getName().equals(OperationTicket.HEADER))
                .findFirst()
                .flatMap(header -> OperationMessageCodec.readTicket(header.getValue()));
    }
}
