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
import org.jasminehub.entry.filter.CallerRequest;
import org.jasminehub.entry.filter.CallerResponse;
import org.jasminehub.entry.filter.RequestContext;
import org.jasminehub.entry.relay.CallStarts;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.Header;
import org.jspecify.annotations.Nullable;

/**
 * Executes the steps decided by an {@link OperationCall}: sends messages and the request itself to the home of the key.
 *
 * <p>Thread-safe, because each event is processed under a lock.
 */
final class OperationExchange {
    private static final int MAX_REPLY_TIMEOUT_MILLIS = 2_000;

    private final RequestContext context;
    private final OperationId id;
    private final OperationCall call;
    private final HomeClient homeClient;
    private final long remainingMillis;
    private final CompletableFuture<CallerResponse> response = new CompletableFuture<>();

    OperationExchange(
            RequestContext context, OperationId id, OperationCall call, HomeClient homeClient, long remainingMillis) {
        this.context = context;
        this.id = id;
        this.call = call;
        this.homeClient = homeClient;
        this.remainingMillis = Math.max(1, remainingMillis);
    }

    /** Runs the operation and returns its response. */
    CompletionStage<CallerResponse> run() {
        return start(call::begin);
    }

    /**
     * Asks the home to confirm that a request that was refused here with {@code code} has not run, and returns the
     * outcome.
     */
    CompletionStage<CallerResponse> refuse(ErrorCode code) {
        return start(() -> call.beginRefused(code));
    }

    private CompletionStage<CallerResponse> start(Supplier<OperationStep> begin) {
        CompletableFuture.delayedExecutor(remainingMillis, TimeUnit.MILLISECONDS)
                .execute(() -> advance(OperationCall::onDeadlineExceeded));
        advance(begun -> begin.get());
        return response;
    }

    private void advance(Function<OperationCall, OperationStep> event) {
        OperationStep step;
        synchronized (this) {
            step = event.apply(call);
        }
        executeStep(step);
    }

    private void executeStep(OperationStep step) {
        if (step instanceof OperationStep.RequestTicket request) {
            sendToHome(request.home(), new OperationMessage.AskTicket(id, digest()), OperationCall::onTicketReply);
        } else if (step instanceof OperationStep.RequestRevocation request) {
            sendToHome(
                    request.home(), new OperationMessage.AskRevocation(id, digest()), OperationCall::onRevocationReply);
        } else if (step instanceof OperationStep.SendRequest sending) {
            sendRequest(sending.ticket());
        } else if (step instanceof OperationStep.AnswerCaller finalStep) {
            completeWith(finalStep.answer());
        }
    }

    private String digest() {
        CallerRequest request = context.request();
        return OperationDigest.of(
                request.method(), request.path(), request.body().toArray());
    }

    /** Passes the decision in a reply to the call. */
    @FunctionalInterface
    private interface ReplyHandler {
        OperationStep apply(OperationCall call, GuardDecision decision);
    }

    private void sendToHome(AgentIncarnation home, OperationMessage message, ReplyHandler handler) {
        int timeoutMillis = (int) Math.min(MAX_REPLY_TIMEOUT_MILLIS, remainingMillis);
        homeClient
                .send(home, message, timeoutMillis)
                .whenComplete((reply, failure) -> advance(waiting -> applyReply(waiting, reply, handler)));
    }

    private static OperationStep applyReply(
            OperationCall call, @Nullable OperationMessage reply, ReplyHandler handler) {
        return reply instanceof OperationMessage.Decided decided
                ? handler.apply(call, decided.decision())
                : call.onHomeLost();
    }

    private void sendRequest(OperationTicket ticket) {
        EndpointLink link = homeClient.find(ticket.issuer()).orElse(null);
        if (link == null) {
            advance(OperationCall::onHomeLost);
            return;
        }
        Header ticketHeader = Header.newBuilder()
                .setName(OperationTicket.HEADER)
                .setValue(OperationMessageCodec.writeTicket(ticket))
                .build();
        CallStart.Builder start = CallStarts.of(context, 1, 0, remainingMillis).addHeaders(ticketHeader);
        link.call(
                start, 1, new OperationResponseListener(link, context.request().id(), this::advance));
    }

    private void completeWith(OperationAnswer operationAnswer) {
        if (operationAnswer.result() != null) {
            response.complete(new CallerResponse.Complete(
                    operationAnswer.result().status(),
                    operationAnswer.result().contentType(),
                    ByteString.fromArray(operationAnswer.result().body())));
            return;
        }
        ErrorCode code = operationAnswer.code() == null ? ErrorCode.OUTCOME_UNKNOWN : operationAnswer.code();
        response.completeExceptionally(
                new RequestException(code, operationAnswer.outcome(), "operation " + id + ": " + code.code()));
    }
}
