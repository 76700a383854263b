package org.jasminehub.gateway.call;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.core.balance.CallQueuePolicy;
import org.jasminehub.core.balance.CallRetryPolicy;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.Route;
import org.jasminehub.core.serving.ServiceProfile;
import org.jasminehub.core.serving.WorkspaceGrant;
import org.jasminehub.gateway.net.CallerExchange;
import org.jasminehub.gateway.net.CallerResponse;
import org.jspecify.annotations.Nullable;

/** One call from its admission to its answer, over as many attempts as its route allows. */
final class RunningCall implements CallerExchange {
    /** How long a call that was sent before waits for a place: about the time in which an engine finishes a stream. */
    private static final long MAX_REQUEUED_MILLIS = 1_500;

    /** When callers of a service without endpoints come back: registrations are read again within that. */
    private static final long NO_ENDPOINT_RETRY_MILLIS = 1_000;

    /** About the time of a pass or two. */
    private static final long REFUSED_PAUSE_MILLIS = 150;

    private static final int LOWEST_PRIORITY = 9;

    private final CallContext context;
    private final CallerResponse answer;
    private final CallDispatcher dispatcher;
    private final long sequence;
    private final Set<EndpointId> tried = new HashSet<>();
    private String service = "";
    private @Nullable Attempt attempt;
    private @Nullable ScheduledFuture<?> deadline;
    private @Nullable ScheduledFuture<?> lineTimer;
    private String lastEndpoint = "";
    private int sends;
    private int runs;
    private long queuedSinceMillis = -1;
    private long queuedMillis;
    private long firstByteMillis = -1;
    private @Nullable Long lastEventId;
    private boolean isHeadSent;
    private boolean isDone;

    RunningCall(CallContext context, CallerResponse answer, CallDispatcher dispatcher) {
        this.context = context;
        this.answer = answer;
        this.dispatcher = dispatcher;
        this.sequence = dispatcher.nextSequence();
    }

    /** Places the call; its context must have passed all filters. */
    void start() {
        lastEventId = context.headers == null ? null : context.headers.lastEventId();
        deadline = dispatcher.after(remainingMillis(), this::onDeadline);
        place();
    }

    CallContext context() {
        return context;
    }

    CallerResponse answer() {
        return answer;
    }

    CallDispatcher dispatcher() {
        return dispatcher;
    }

    Route route() {
        Route route = context.route;
        if (route == null) {
            throw new CallStateException("a call without a route was placed");
        }
        return route;
    }

    String service() {
        if (service.isEmpty()) {
            service = route().serviceAt(dispatcher.position());
        }
        return service;
    }

    @Nullable
    ServiceProfile profile() {
        return context.table == null ? null : context.table.services().get(service());
    }

    Set<EndpointId> tried() {
        return tried;
    }

    int priority() {
        WorkspaceGrant grant = context.grant;
        Integer own = grant == null ? null : grant.priority();
        return Math.min(LOWEST_PRIORITY, own == null ? route().priority() : own);
    }

    long sequence() {
        return sequence;
    }

    /** Returns whether the caller was refused before and is late in any case. */
    boolean isCallerRetry() {
        return CallQueuePolicy.isCallerRetry(route(), allowedMillis());
    }

    private long allowedMillis() {
        return context.deadlineMillis - context.arrivedMillis;
    }

    long remainingMillis() {
        return context.deadlineMillis - dispatcher.clock().monotonicMillis();
    }

    @Nullable
    Long lastEventId() {
        return lastEventId;
    }

    void onEventDelivered(long id) {
        lastEventId = id;
    }

    boolean isHeadSent() {
        return isHeadSent;
    }

    void onHeadSent() {
        isHeadSent = true;
        if (firstByteMillis < 0) {
            firstByteMillis = elapsedMillis();
        }
    }

    private void place() {
        if (!dispatcher.hasEndpoints(service())) {
            finishRefused(
                    Refusal.later(ErrorCode.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS, "no endpoint of " + service()));
            return;
        }
        Optional<EndpointRecord> endpoint = dispatcher.choose(this);
        if (endpoint.isPresent()) {
            send(endpoint.get());
            return;
        }
        queuedSinceMillis = dispatcher.clock().monotonicMillis();
        long leftInLineMillis = CallQueuePolicy.maxWaitMillis(route(), allowedMillis()) - elapsedMillis();
        if (sends > 0) {
            // Work has been spent on it, so it waits for a place also when it will be late.
            leftInLineMillis = Math.min(remainingMillis(), MAX_REQUEUED_MILLIS);
        }
        if (sends == 0 && !dispatcher.mayWait(this, leftInLineMillis)) {
            onNoPlace();
            return;
        }
        lineTimer = dispatcher.after(leftInLineMillis, this::onNoPlace);
        dispatcher.waitInLine(this);
    }

    /** Sends the call to {@code endpoint}. */
    void send(EndpointRecord endpoint) {
        leaveLine();
        sends++;
        tried.add(endpoint.id());
        lastEndpoint = endpoint.id().value();
        Attempt next = new Attempt(this, endpoint);
        attempt = next;
        next.start();
    }

    private void leaveLine() {
        if (queuedSinceMillis >= 0) {
            queuedMillis += dispatcher.clock().monotonicMillis() - queuedSinceMillis;
            queuedSinceMillis = -1;
        }
        if (lineTimer != null) {
            lineTimer.cancel(false);
            lineTimer = null;
        }
    }

    /** Refuses the call: it waited in vain, or the line ahead of it is too long to wait at all. */
    private void onNoPlace() {
        if (!isDone) {
            finishRefused(Refusal.later(
                    ErrorCode.OVERLOADED,
                    dispatcher.retryAfterMillis(service()),
                    "no endpoint of " + service() + " had room in time; " + dispatcher.waiting(service())
                            + " calls in line"));
        }
    }

    private void onDeadline() {
        if (!isDone) {
            finishRefused(Refusal.of(ErrorCode.DEADLINE_EXCEEDED, "the time of the call is over"));
        }
    }

    /** Returns whether the call could go on elsewhere if the present attempt were given up now. */
    boolean mayRepeatAfterRun() {
        return CallRetryPolicy.mayRetry(route(), AttemptEnd.MAY_HAVE_RUN, runs + 1, sends, remainingMillis());
    }

    /** The present attempt ended without an answer to deliver: goes on elsewhere, or gives up with {@code refusal}. */
    void onAttemptFailed(Attempt failed, AttemptEnd end, String reason, Runnable deliverFailure) {
        runs += end.isNotRun() ? 0 : 1;
        boolean isRepeated = CallRetryPolicy.mayRetry(route(), end, runs, sends, remainingMillis())
                && dispatcher.tryRetry(service());
        dispatcher
                .events()
                .emit(new AttemptFailed(
                        context.requestId(),
                        failed.endpoint().id().value(),
                        end,
                        reason,
                        dispatcher.openCallsAt(failed.endpoint().id()),
                        lastEventId == null ? -1 : lastEventId,
                        failed.elapsedMillis(),
                        isRepeated));
        attempt = null;
        ServiceProfile served = profile();
        if (isRepeated && end == AttemptEnd.NOT_RUN && served != null && served.engine() != null) {
            // An engine that refuses is full or its group is forming anew; both need a moment.
            dispatcher.after(REFUSED_PAUSE_MILLIS, () -> {
                if (!isDone) {
                    place();
                }
            });
        } else if (isRepeated) {
            place();
        } else {
            deliverFailure.run();
        }
    }

    /** Answers with a failure of this system's own. */
    void giveUp(AttemptEnd end, String reason) {
        if (end.isNotRun() && runs == 0) {
            finishRefused(Refusal.later(ErrorCode.OVERLOADED, dispatcher.retryAfterMillis(service()), reason));
        } else {
            finishRefused(Refusal.of(ErrorCode.ENDPOINT_FAILED, reason));
        }
    }

    /** Refuses the call before it was placed. */
    void refuse(Refusal refusal) {
        finishRefused(refusal);
    }

    private void finishRefused(Refusal refusal) {
        if (isDone) {
            return;
        }
        boolean mayHaveRun = runs > 0 || attempt != null;
        Refusal stated = refusal;
        if (mayHaveRun && refusal.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
            // The status would promise that nothing ran.
            stated = Refusal.of(ErrorCode.ENDPOINT_FAILED, refusal.reason());
        }
        if (!mayHaveRun && refusal.code() == ErrorCode.DEADLINE_EXCEEDED) {
            stated = Refusal.later(
                    ErrorCode.DEADLINE_UNREACHABLE, dispatcher.retryAfterMillis(service()), refusal.reason());
        }
        end(
                CallEventKind.CALL_REFUSED,
                isHeadSent ? 0 : stated.status(),
                stated.code().code(),
                stated.reason());
        if (isHeadSent) {
            answer.abort();
            return;
        }
        stated.write(answer, context.requestId());
    }

    /** The answer is delivered. */
    void onServed(int status) {
        attempt = null;
        end(CallEventKind.CALL_SERVED, status, "", "");
    }

    @Override
    public void onCallerDisconnected() {
        if (!isDone) {
            end(CallEventKind.CALLER_GONE, 0, "", "after " + sends + " sends");
        }
    }

    @Override
    public void onWritabilityChanged(boolean isWritable) {
        if (attempt != null) {
            attempt.setReading(isWritable);
        }
    }

    private void end(CallEventKind kind, int status, String code, String reason) {
        isDone = true;
        leaveLine();
        if (deadline != null) {
            deadline.cancel(false);
        }
        if (attempt != null) {
            runs++;
            attempt.cancel();
            attempt = null;
        }
        if (context.route != null) {
            dispatcher.onDone(this);
        }
        WorkspaceGrant grant = context.grant;
        dispatcher
                .events()
                .emit(new CallEnded(
                        kind,
                        context.requestId(),
                        context.route == null ? "" : context.route.name(),
                        grant == null ? "" : grant.workspace().value(),
                        status,
                        code,
                        reason,
                        lastEndpoint,
                        sends,
                        runs,
                        queuedMillis,
                        firstByteMillis,
                        elapsedMillis(),
                        context.table == null ? 0 : context.table.version(),
                        context.tableAgeMillis));
    }

    private long elapsedMillis() {
        return dispatcher.clock().monotonicMillis() - context.arrivedMillis;
    }
}
