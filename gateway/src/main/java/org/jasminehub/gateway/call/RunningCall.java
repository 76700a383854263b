package org.jasminehub.gateway.call;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.core.balance.CallQueuePolicy;
import org.jasminehub.core.balance.ResponsePolicy;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.Route;
import org.jasminehub.core.serving.ServiceProfile;
import org.jasminehub.core.serving.WorkspaceGrant;
import org.jasminehub.core.stream.EventId;
import org.jasminehub.gateway.net.CallerExchange;
import org.jasminehub.gateway.net.CallerResponse;
import org.jspecify.annotations.Nullable;

/** A call from its admission to its response, across all attempts that its route allows. */
final class RunningCall implements CallerExchange {
    /**
     * Longest time in the queue for a call that was already sent once; about the time an engine needs to finish a
     * stream.
     */
    static final long MAX_REQUEUE_WAIT_MILLIS = 1_500;

    private static final int LOWEST_PRIORITY = 9;

    private final CallContext context;
    private final CallerResponse answer;
    private final CallDispatcher dispatcher;
    private final long sequence;
    private final QueueWait queueWait;
    private final CallIdentity identity;
    private final CallAttempts attempts;
    private final DeliveredResponse delivered = new DeliveredResponse();
    private String service = "";
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private long firstByteMillis = -1;
    private @Nullable EventId lastEventId;
    private boolean isHeadSent;
    private boolean hasOutput;
    private boolean isDone;

    RunningCall(CallContext context, CallerResponse answer, CallDispatcher dispatcher) {
        this.context = context;
        this.answer = answer;
        this.dispatcher = dispatcher;
        this.sequence = dispatcher.nextSequence();
        this.queueWait = new QueueWait(dispatcher.clock());
        this.identity = new CallIdentity(context, dispatcher.quarantine());
        this.attempts = new CallAttempts(this);
    }

    /** Dispatches the call; its context must have passed all filters. */
    void start() {
        lastEventId = context.headers == null ? null : context.headers.lastEventId();
        deadlineTimer = dispatcher.after(remainingMillis(), this::onDeadline);
        dispatch();
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
            throw new CallStateException("call dispatched without a route");
        }
        return route;
    }

    String service() {
        if (service.isEmpty()) {
            service = route().serviceAt(dispatcher.nextRandom());
        }
        return service;
    }

    @Nullable
    ServiceProfile profile() {
        return context.table == null ? null : context.table.services().get(service());
    }

    Set<EndpointId> triedEndpoints() {
        return attempts.triedEndpoints();
    }

    CallAttempts attempts() {
        return attempts;
    }

    int priority() {
        WorkspaceGrant grant = context.grant;
        Integer own = grant == null ? null : grant.priority();
        return Math.min(LOWEST_PRIORITY, own == null ? route().priority() : own);
    }

    long sequence() {
        return sequence;
    }

    /**
     * Returns whether the call is a retry by a caller that was refused before. Such a call misses its target latency in
     * any case.
     */
    boolean isCallerRetry() {
        return CallQueuePolicy.isCallerRetry(route(), context.timeLimitMillis());
    }

    CallIdentity identity() {
        return identity;
    }

    long remainingMillis() {
        return context.deadlineMillis - dispatcher.clock().monotonicMillis();
    }

    @Nullable
    EventId lastEventId() {
        return lastEventId;
    }

    boolean isDone() {
        return isDone;
    }

    void onEventDelivered(EventId id) {
        lastEventId = id;
    }

    DeliveredResponse delivered() {
        return delivered;
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

    /** Returns whether an endpoint has produced output of the call. */
    boolean hasOutput() {
        return hasOutput || lastEventId != null;
    }

    void onOutput() {
        hasOutput = true;
    }

    /** Refuses the call if it is quarantined; returns whether it did. */
    private boolean refuseIfQuarantined() {
        Optional<Refusal> refusal = identity.refusal();
        refusal.ifPresent(this::endWithRefusal);
        return refusal.isPresent();
    }

    void endIfQuarantined() {
        if (!isDone && !hasOutput()) {
            refuseIfQuarantined();
        }
    }

    /** Sends the call to an endpoint, queues it or refuses it; no attempt may be open. */
    void dispatch() {
        if (refuseIfQuarantined()) {
            return;
        }
        Optional<Refusal> unavailability = dispatcher.unavailability(service());
        if (unavailability.isPresent()) {
            endWithRefusal(unavailability.get());
            return;
        }
        Optional<EndpointRecord> endpoint = dispatcher.choose(this);
        if (endpoint.isPresent()) {
            send(endpoint.get());
            return;
        }
        long maxWaitMillis = CallQueuePolicy.maxWaitMillis(route(), context.timeLimitMillis()) - elapsedMillis();
        boolean isSent = attempts.sends() > 0;
        if (isSent) {
            // Work has already been spent on the call, so it stays queued even if it will miss its target latency.
            maxWaitMillis = Math.min(remainingMillis(), MAX_REQUEUE_WAIT_MILLIS);
        }
        if (!isSent && !dispatcher.mayWait(this, maxWaitMillis)) {
            refuseForCapacity();
            return;
        }
        waitInQueue(maxWaitMillis);
    }

    /** Queues the call until an endpoint has capacity for an attempt. */
    void waitInQueue(long maxWaitMillis) {
        queueWait.begin(maxWaitMillis, dispatcher.after(maxWaitMillis, this::refuseForCapacity));
        dispatcher.enqueue(this);
    }

    boolean isQueued() {
        return queueWait.isRunning();
    }

    void leaveQueue() {
        if (isQueued()) {
            queueWait.end();
            dispatcher.dequeue(this);
        }
    }

    /** Sends the call to {@code endpoint}. */
    void send(EndpointRecord endpoint) {
        queueWait.end();
        attempts.send(endpoint);
    }

    /** Returns how much longer the call may stay in the queue. */
    long remainingWaitMillis() {
        return queueWait.remainingMillis();
    }

    /** Refuses the call because no endpoint has capacity in time, or because the queue ahead of it is too long. */
    void refuseForCapacity() {
        if (!isDone) {
            refuse(dispatcher.noCapacity(this));
        }
    }

    private void onDeadline() {
        if (!isDone) {
            endWithRefusal(Refusal.of(ErrorCode.DEADLINE_EXCEEDED, "the time of the call is over"));
        }
    }

    /** Responds with an error that this instance creates, because the call failed and is not retried. */
    void respondWithFailure(AttemptEnd end, String reason) {
        if (end.isNotRun() && attempts.runs() == 0) {
            endWithRefusal(dispatcher
                    .unavailability(service())
                    .orElseGet(
                            () -> Refusal.retryable(ErrorCode.OVERLOADED, dispatcher.retryAfterMillis(this), reason)));
        } else {
            endWithRefusal(Refusal.of(ErrorCode.ENDPOINT_FAILED, reason));
        }
    }

    /** Refuses the call; one with an open attempt only stops waiting for an endpoint for another attempt. */
    void refuse(Refusal refusal) {
        if (attempts.isAnyOpen()) {
            leaveQueue();
        } else {
            endWithRefusal(refusal);
        }
    }

    private void endWithRefusal(Refusal refusal) {
        if (isDone) {
            return;
        }
        boolean mayHaveRun = attempts.mayHaveRun();
        Refusal response = refusal;
        if (mayHaveRun && ResponsePolicy.promisesNotRun(refusal.status())) {
            // Callers would read the status as "not run", which is not certain here.
            response = Refusal.of(ErrorCode.ENDPOINT_FAILED, refusal.reason());
        }
        if (!mayHaveRun && refusal.code() == ErrorCode.DEADLINE_EXCEEDED) {
            response = Refusal.retryable(
                    ErrorCode.DEADLINE_UNREACHABLE, dispatcher.retryAfterMillis(this), refusal.reason());
        }
        dispatcher.onRefused(response.code());
        end(
                CallEventKind.CALL_REFUSED,
                isHeadSent ? 0 : response.status(),
                response.code().code(),
                response.reason());
        if (isHeadSent) {
            answer.abort();
            return;
        }
        response.write(answer, context.requestId());
    }

    /** Ends the call because the process ends; a response whose head has been sent is cut. */
    void endWithProcess() {
        if (isDone) {
            return;
        }
        if (isHeadSent) {
            end(CallEventKind.CALL_CUT, 0, ErrorCode.LEAVING.code(), "the process ends");
            answer.abort();
        } else {
            endWithRefusal(Refusal.leaving("the process ends"));
        }
    }

    /** Called when the response has been delivered. */
    void onServed(int status) {
        attempts.onServed();
        end(CallEventKind.CALL_SERVED, status, "", "");
    }

    @Override
    public void onCallerDisconnected() {
        if (!isDone) {
            end(CallEventKind.CALLER_GONE, 0, "", "disconnected after " + attempts.sends() + " attempts");
        }
    }

    @Override
    public void onWritabilityChanged(boolean isWritable) {
        attempts.setReading(isWritable);
    }

    private void end(CallEventKind kind, int status, String code, String reason) {
        isDone = true;
        queueWait.end();
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        attempts.endAll();
        if (context.route != null) {
            dispatcher.onDone(this);
        }
        WorkspaceGrant grant = context.grant;
        dispatcher
                .events()
                .emit(new CallEnded(
                        kind,
                        context.loggedRequestId(),
                        context.route == null ? "" : context.route.name(),
                        grant == null ? "" : grant.workspace().value(),
                        status,
                        code,
                        reason,
                        attempts.lastEndpoint(),
                        attempts.sends(),
                        attempts.runs(),
                        queueWait.totalMillis(),
                        firstByteMillis,
                        elapsedMillis(),
                        context.table == null ? 0 : context.table.version(),
                        context.tableAgeMillis));
    }

    private long elapsedMillis() {
        return dispatcher.clock().monotonicMillis() - context.arrivedMillis;
    }
}
