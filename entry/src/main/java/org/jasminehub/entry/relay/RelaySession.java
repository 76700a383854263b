package org.jasminehub.entry.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jasminehub.core.document.RouteKind;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.retry.FailedAttempt;
import org.jasminehub.core.retry.RetryDecision;
import org.jasminehub.core.retry.RetryPolicy;
import org.jasminehub.core.routing.EndpointChoice;
import org.jasminehub.core.routing.EndpointPolicy;
import org.jasminehub.core.routing.EndpointState;
import org.jasminehub.core.routing.RoutingRequest;
import org.jasminehub.core.routing.WorkCost;
import org.jasminehub.core.time.Clock;
import org.jasminehub.entry.endpoint.EndpointDirectory;
import org.jasminehub.entry.endpoint.EndpointLink;
import org.jasminehub.entry.filter.Failures;
import org.jasminehub.entry.filter.RequestContext;
import org.jasminehub.wire.generated.AnswerHead;
import org.jspecify.annotations.Nullable;

/** The successive attempts of one request, each at a different endpoint. Must be used by one thread at a time. */
final class RelaySession {
    private static final long NO_ENDPOINT_RETRY_AFTER_MILLIS = 500;

    private final RequestContext context;
    private final FailureDomain origin;
    private final EndpointDirectory directory;
    private final EndpointPolicy policy;
    private final Clock clock;
    private final EventSink events;
    private final DelayedExecutor delays;
    private final RetryPolicy retries;
    private final List<EndpointId> tried = new ArrayList<>();
    private @Nullable AnswerHead begun;

    RelaySession(
            RequestContext context,
            FailureDomain origin,
            EndpointDirectory directory,
            EndpointPolicy policy,
            Clock clock,
            EventSink events,
            DelayedExecutor delays,
            RetryPolicy retries) {
        this.context = context;
        this.origin = origin;
        this.directory = directory;
        this.policy = policy;
        this.clock = clock;
        this.events = events;
        this.delays = delays;
        this.retries = retries;
    }

    /** Starts the request and returns the first attempt that receives a head. */
    CompletionStage<Attempt> begin() {
        retries.recordFirstAttempt(subject());
        return attempt(0);
    }

    /** Returns a new attempt that replaces a failed one and continues after the chunks that were already relayed. */
    CompletionStage<Attempt> resume(ResponseInterruption interruption) {
        events.emit(new AnswerInterrupted(
                context.request().id().value(),
                lastTried(),
                tried.size(),
                interruption.relayedChunks(),
                interruption.failure().code().code()));
        if (interruption.relayedChunks() > 0 && !isResumable()) {
            return CompletableFuture.failedFuture(interruption.failure());
        }
        return retryAfterFailure(interruption.failure(), interruption.relayedChunks());
    }

    private boolean isResumable() {
        return context.route().kind() == RouteKind.STREAM && context.request().stream();
    }

    private CompletionStage<Attempt> attempt(int resumeFromChunk) {
        Optional<EndpointChoice> choice = choose();
        Optional<EndpointLink> link = choice.flatMap(made -> directory.link(made.endpoint()));
        if (link.isEmpty()) {
            return CompletableFuture.failedFuture(new RequestException(
                    ErrorCode.NO_ENDPOINT,
                    Outcome.NOT_RUN,
                    NO_ENDPOINT_RETRY_AFTER_MILLIS,
                    "no endpoint serves " + context.route().target() + " at present"));
        }
        tried.add(link.get().id());
        Attempt attempt = Attempt.start(
                link.get(),
                CallStarts.of(context, tried.size(), resumeFromChunk, remainingMillis()),
                WorkCost.tokens(
                        context.request().promptTokens(), context.request().maxAnswerTokens()),
                context.request().stream() ? choice.get().estimateMillis() : 0,
                clock);
        attempt.startDeadline(remainingMillis(), delays);
        return attempt.head()
                .handle((head, failure) -> {
                    if (failure != null) {
                        return retryAfterFailure(Failures.toRequestException(failure), resumeFromChunk);
                    }
                    if (!isContinuedBy(head)) {
                        attempt.cancel();
                        return retryAfterFailure(
                                new RequestException(
                                        ErrorCode.ENDPOINT_FAILED,
                                        Outcome.UNKNOWN,
                                        "an answer with status " + head.getStatus()
                                                + " does not continue the response"),
                                resumeFromChunk);
                    }
                    begun = head;
                    return CompletableFuture.completedFuture(attempt);
                })
                .thenCompose(stage -> stage);
    }

    /** Returns whether the body of an answer with this head can follow the head that the caller receives. */
    private boolean isContinuedBy(AnswerHead head) {
        AnswerHead first = begun;
        return first == null
                || (first.getStatus() == head.getStatus()
                        && first.getHeadersList().equals(head.getHeadersList()));
    }

    private CompletionStage<Attempt> retryAfterFailure(RequestException failure, int resumeFromChunk) {
        RetryDecision decision = retries.decide(
                new FailedAttempt(subject(), tried.size(), failure.code(), failure.outcome(), remainingMillis(), 0));
        if (decision != RetryDecision.RETRY_ALLOWED) {
            return CompletableFuture.failedFuture(failure);
        }
        events.emit(new AttemptRetried(
                context.request().id().value(),
                lastTried(),
                tried.size(),
                failure.code().code(),
                failure.outcome().label()));
        return attempt(resumeFromChunk)
                .handle((attempt, problem) -> attempt != null
                        ? CompletableFuture.completedFuture(attempt)
                        : CompletableFuture.<Attempt>failedFuture(
                                moreUncertainOf(failure, Failures.toRequestException(problem))))
                .thenCompose(stage -> stage);
    }

    private FailedAttempt.Subject subject() {
        return new FailedAttempt.Subject(context.request().workspace(), context.route());
    }

    /**
     * Returns the earlier failure if its attempt may have run, because "not run" of a later attempt does not refute
     * that.
     */
    private static RequestException moreUncertainOf(RequestException earlier, RequestException later) {
        return earlier.outcome() == Outcome.UNKNOWN ? earlier : later;
    }

    private Optional<EndpointChoice> choose() {
        List<EndpointState> candidates = new ArrayList<>();
        for (EndpointLink link : directory.usable(context.route().target())) {
            if (!tried.contains(link.id())) {
                candidates.add(link.state(0));
            }
        }
        RoutingRequest request = new RoutingRequest(
                origin,
                context.request().promptTokens(),
                context.request().maxAnswerTokens(),
                context.route().priority(),
                remainingMillis());
        Optional<EndpointChoice> choice = policy.choose(request, candidates);
        choice.ifPresent(this::logChoice);
        return choice;
    }

    private void logChoice(EndpointChoice choice) {
        events.emit(new EndpointChosen(
                context.request().id().value(),
                context.request().workspace().value(),
                context.route().name(),
                tried.size() + 1,
                choice.endpoint().value(),
                choice.estimateMillis(),
                choice.considered(),
                choice.reason()));
    }

    private String lastTried() {
        return tried.isEmpty() ? "" : tried.get(tried.size() - 1).value();
    }

    private long remainingMillis() {
        return Math.max(0, context.deadlineMillis() - clock.monotonicMillis());
    }
}
