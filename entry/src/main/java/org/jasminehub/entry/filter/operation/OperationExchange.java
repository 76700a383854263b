package org.jasminehub.entry.filter.operation;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.core.operation.AgentIncarnation;
import org.jasminehub.core.operation.GuardDecision;
import org.jasminehub.core.operation.OperationAnswer;
import org.jasminehub.core.operation.OperationCall;
import org.jasminehub.core.operation.OperationDigest;
import org.jasminehub.core.operation.OperationId;
import org.jasminehub.core.operation.OperationMessage;
import org.jasminehub.core.operation.OperationMessageCodec;
import org.jasminehub.core.operation.OperationStep;
import org.jasminehub.core.operation.OperationTicket;
import org.jasminehub.entry.endpoint.EndpointLink;
import org.jasminehub.entry.filter.Answer;
import org.jasminehub.entry.filter.CallerRequest;
import org.jasminehub.entry.filter.RequestContext;
import org.jasminehub.entry.relay.CallStarts;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.Header;
import org.jspecify.annotations.Nullable;

/**
 * Carries out what an {@link OperationCall} decides: messages and the request itself, to the key's home.
 *
 * <p>Safe for use by several threads: each event is taken under its lock.
 */
final class OperationExchange {
    private static final int MAX_REPLY_MILLIS = 2_000;

    private final RequestContext context;
    private final OperationId id;
    private final OperationCall call;
    private final HomeLink homes;
    private final long remainingMillis;
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();

    OperationExchange(
            RequestContext context, OperationId id, OperationCall call, HomeLink homes, long remainingMillis) {
        this.context = context;
        this.id = id;
        this.call = call;
        this.homes = homes;
        this.remainingMillis = Math.max(1, remainingMillis);
    }

    /** Leads the operation to its answer. */
    CompletionStage<Answer> run() {
        return start(call::begin);
    }

    /** Proves that a request that is refused here for {@code code} has not run, or says what is known. */
    CompletionStage<Answer> refuse(ErrorCode code) {
        return start(() -> call.beginRefused(code));
    }

    private CompletionStage<Answer> start(Supplier<OperationStep> begin) {
        CompletableFuture.delayedExecutor(remainingMillis, TimeUnit.MILLISECONDS)
                .execute(() -> advance(OperationCall::onDeadlineExceeded));
        advance(begun -> begin.get());
        return answer;
    }

    private void advance(Function<OperationCall, OperationStep> event) {
        OperationStep step;
        synchronized (this) {
            step = event.apply(call);
        }
        act(step);
    }

    private void act(OperationStep step) {
        if (step instanceof OperationStep.RequestTicket ask) {
            ask(ask.home(), new OperationMessage.AskTicket(id, digest()), OperationCall::onTicketReply);
        } else if (step instanceof OperationStep.RequestRevocation ask) {
            ask(ask.home(), new OperationMessage.AskRevocation(id, digest()), OperationCall::onRevocationReply);
        } else if (step instanceof OperationStep.SendRequest send) {
            send(send.ticket());
        } else if (step instanceof OperationStep.AnswerCaller last) {
            conclude(last.answer());
        }
    }

    private String digest() {
        CallerRequest request = context.request();
        return OperationDigest.of(
                request.method(), request.path(), request.body().toArray());
    }

    /** Hands a reply's decision to the call. */
    @FunctionalInterface
    private interface ReplyEvent {
        OperationStep take(OperationCall call, GuardDecision decision);
    }

    private void ask(AgentIncarnation home, OperationMessage message, ReplyEvent event) {
        int timeoutMillis = (int) Math.min(MAX_REPLY_MILLIS, remainingMillis);
        homes.ask(home, message, timeoutMillis)
                .whenComplete((reply, failure) -> advance(waiting -> takeReply(waiting, reply, event)));
    }

    private static OperationStep takeReply(OperationCall call, @Nullable OperationMessage reply, ReplyEvent event) {
        return reply instanceof OperationMessage.Decided decided
                ? event.take(call, decided.decision())
                : call.onHomeLost();
    }

    private void send(OperationTicket ticket) {
        EndpointLink link = homes.find(ticket.issuer()).orElse(null);
        if (link == null) {
            advance(OperationCall::onHomeLost);
            return;
        }
        Header carried = Header.newBuilder()
                .setName(OperationTicket.HEADER)
                .setValue(OperationMessageCodec.writeTicket(ticket))
                .build();
        CallStart.Builder start = CallStarts.of(context, 1, 0, remainingMillis).addHeaders(carried);
        link.call(start, 1, new OperationAnswerListener(link, context.request().id(), this::advance));
    }

    private void conclude(OperationAnswer last) {
        if (last.result() != null) {
            answer.complete(new Answer.Whole(
                    last.result().status(),
                    last.result().contentType(),
                    ByteString.fromArray(last.result().body())));
            return;
        }
        ErrorCode code = last.code() == null ? ErrorCode.OUTCOME_UNKNOWN : last.code();
        answer.completeExceptionally(
                new RequestException(code, last.outcome(), "operation " + id + ": " + code.code()));
    }
}
