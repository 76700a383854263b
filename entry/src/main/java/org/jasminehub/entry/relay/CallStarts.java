package org.jasminehub.entry.relay;

import com.google.protobuf.UnsafeByteOperations;
import org.jasminehub.core.document.Priority;
import org.jasminehub.entry.filter.CallerRequest;
import org.jasminehub.entry.filter.RequestContext;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.PriorityClass;

/** Creates the messages that start calls at agents. */
public final class CallStarts {
    static final int INITIAL_CREDIT_CHUNKS = 32;

    private CallStarts() {}

    /**
     * Returns the message that starts one attempt.
     *
     * @param context the request
     * @param attempt the number of the attempt, counted from 1
     * @param resumeFromEvent the number of response chunks to skip because the caller already has them
     * @param remainingMillis the time until the request's deadline
     */
    public static CallStart.Builder of(RequestContext context, int attempt, int resumeFromEvent, long remainingMillis) {
        CallerRequest request = context.request();
        CallStart.Builder start = CallStart.newBuilder()
                .setRequestId(request.id().value())
                .setAttempt(attempt)
                .setWorkspace(request.workspace().value())
                .setTeam(context.document().document().team())
                .setRoute(context.route().name())
                .setDocumentVersion(context.document().version())
                .setRemainingMillis((int) remainingMillis)
                .setPriority(classOf(context.route().priority()))
                .setMethod(request.method())
                .setPath(request.path())
                .setBody(UnsafeByteOperations.unsafeWrap(request.body().toArray()))
                .setResumeFromEvent(resumeFromEvent)
                .setStream(request.stream())
                .setEstimatedPromptTokens((int) request.promptTokens())
                .setMaxAnswerTokens((int) request.maxAnswerTokens())
                .setInitialCredit(INITIAL_CREDIT_CHUNKS)
                .setWorkspaceWeight(context.workspace().weight());
        if (request.idempotencyKey() != null) {
            start.setIdempotencyKey(request.idempotencyKey());
        }
        return start;
    }

    private static PriorityClass classOf(Priority priority) {
        return switch (priority) {
            case URGENT -> PriorityClass.URGENT;
            case NORMAL -> PriorityClass.NORMAL;
            case BATCH -> PriorityClass.BATCH;
        };
    }
}
