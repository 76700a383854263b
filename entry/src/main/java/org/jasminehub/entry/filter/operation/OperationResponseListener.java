package org.jasminehub.entry.filter.operation;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jasminehub.core.answer.DeliveryRule;
import org.jasminehub.core.answer.FrameDecision;
import org.jasminehub.core.answer.ResponseAssembler;
import org.jasminehub.core.answer.ResponseFrame;
import org.jasminehub.core.document.RouteKind;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.operation.GuardDecision;
import org.jasminehub.core.operation.OperationAnswer;
import org.jasminehub.core.operation.OperationCall;
import org.jasminehub.core.operation.OperationResult;
import org.jasminehub.core.operation.OperationStep;
import org.jasminehub.entry.endpoint.EndpointLink;
import org.jasminehub.wire.ResponseListener;
import org.jasminehub.wire.generated.AnswerChunk;
import org.jasminehub.wire.generated.AnswerEnd;
import org.jasminehub.wire.generated.AnswerHead;
import org.jasminehub.wire.generated.AnswerRefused;
import org.jasminehub.wire.generated.Header;

/** Collects the response to the request of an operation. Called on an I/O thread, must not block. */
final class OperationResponseListener implements ResponseListener {
    private static final int ATTEMPT = 1;

    private final EndpointLink link;
    private final RequestId requestId;
    private final Consumer<Function<OperationCall, OperationStep>> events;
    private final ResponseAssembler assembler;
    private final AtomicBoolean isEnded = new AtomicBoolean();
    private AnswerHead head = AnswerHead.getDefaultInstance();

    OperationResponseListener(
            EndpointLink link, RequestId requestId, Consumer<Function<OperationCall, OperationStep>> events) {
        this.link = link;
        this.requestId = requestId;
        this.events = events;
        this.assembler = new ResponseAssembler(requestId, DeliveryRule.of(RouteKind.NON_IDEMPOTENT), Long.MAX_VALUE);
        assembler.startAttempt(ATTEMPT);
    }

    @Override
    public void onHead(AnswerHead answerHead) {
        head = answerHead;
    }

    @Override
    public void onChunk(AnswerChunk chunk) {
        onFrame(new ResponseFrame.Chunk(
                requestId,
                chunk.getAttempt(),
                chunk.getSequence(),
                chunk.getData().toByteArray()));
    }

    @Override
    public void onEnd(AnswerEnd end) {
        onFrame(new ResponseFrame.End(requestId, end.getAttempt(), end.getChunks()));
    }

    @Override
    public void onRefused(AnswerRefused refusal) {
        ErrorCode code = ErrorCode.of(refusal.getCode());
        boolean isUnknown = Outcome.of(refusal.getOutcome()) == Outcome.UNKNOWN;
        end(call -> isUnknown
                ? call.onAnswer(new GuardDecision.Answered(OperationAnswer.unknown(code)))
                : call.onRequestRefused(code));
    }

    @Override
    public void onConnectionLost(boolean sent) {
        end(OperationCall::onHomeLost);
    }

    private void onFrame(ResponseFrame frame) {
        FrameDecision decision = assembler.onFrame(frame);
        if (decision instanceof FrameDecision.Complete complete) {
            OperationResult result = new OperationResult(head.getStatus(), contentType(), join(complete.data()));
            end(call -> call.onAnswer(new GuardDecision.Answered(OperationAnswer.done(result))));
        } else if (decision instanceof FrameDecision.Broken) {
            end(OperationCall::onHomeLost);
        }
    }

    private void end(Function<OperationCall, OperationStep> event) {
        if (isEnded.compareAndSet(false, true)) {
            link.callEnded();
            events.accept(event);
        }
    }

    private String contentType() {
        return head.getHeadersList().stream()
                .filter(header -> header.getName().equals("content-type"))
                .map(Header::getValue)
                .findFirst()
                .orElse("application/octet-stream");
    }

    private static byte[] join(List<byte[]> parts) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        parts.forEach(joined::writeBytes);
        return joined.toByteArray();
    }
}
