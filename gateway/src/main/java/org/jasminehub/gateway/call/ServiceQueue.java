package org.jasminehub.gateway.call;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.function.IntSupplier;
import org.jasminehub.core.balance.CallQueuePolicy;
import org.jasminehub.core.balance.GroupConcurrencyLimits;
import org.jasminehub.core.overload.CallTurn;
import org.jasminehub.core.overload.QueuedCall;
import org.jasminehub.core.overload.SharedServiceQueue;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.WorkspaceGrant;
import org.jasminehub.core.time.Clock;

/**
 * The queue of calls that wait for capacity at one service, with its limits. The queue is ordered within this instance
 * or, while queues are shared, across all instances. Must be used on the event loop only.
 */
final class ServiceQueue {
    /**
     * Retries of refused callers miss their target latency in any case, so they follow calls that can still meet it.
     */
    private static final Comparator<RunningCall> ORDER = Comparator.comparingInt(RunningCall::priority)
            .thenComparing(RunningCall::isCallerRetry)
            .thenComparingLong(RunningCall::sequence);

    private final String service;
    private final Clock clock;
    private final TreeSet<RunningCall> calls = new TreeSet<>(ORDER);
    private final GroupConcurrencyLimits concurrencyLimits;
    private final CallQueuePolicy policy;
    private final SharedQueues sharedQueues;
    private final SharedServiceQueue shared;

    /** The open calls of the service, whether they wait or not, while queues may be shared. */
    private final Map<RunningCall, QueuedCall> descriptions = new HashMap<>();

    private final Map<QueuedCall, RunningCall> callByDescription = new HashMap<>();
    private long lastProgressMillis;

    ServiceQueue(String service, Clock clock, SharedQueues sharedQueues) {
        this.service = service;
        this.clock = clock;
        this.concurrencyLimits = new GroupConcurrencyLimits(clock);
        this.policy = new CallQueuePolicy(clock);
        this.sharedQueues = sharedQueues;
        this.shared = sharedQueues.queue(service);
    }

    private boolean isShared() {
        return sharedQueues.isActive(service);
    }

    GroupConcurrencyLimits concurrencyLimits() {
        return concurrencyLimits;
    }

    /** Records a call that has arrived. */
    void onCall(RunningCall call) {
        if (sharedQueues.isConfigured()) {
            QueuedCall description = shared.admit(describe(call));
            descriptions.put(call, description);
            callByDescription.put(description, call);
        }
    }

    private QueuedCall describe(RunningCall call) {
        WorkspaceGrant grant = call.context().grant;
        return QueuedCall.arriving(
                Math.max(0, call.priority()),
                call.route(),
                call.context().timeLimitMillis(),
                grant == null ? "" : grant.workspace().value(),
                call.context().arrivedMillis,
                call.sequence());
    }

    /** Removes a call that has ended. */
    void onDone(RunningCall call) {
        remove(call);
        QueuedCall description = descriptions.remove(call);
        if (description != null) {
            callByDescription.remove(description);
        }
    }

    /** Records that a call is sent to an endpoint. */
    void onSent(RunningCall call) {
        if (sharedQueues.isConfigured()) {
            shared.onStarted(description(call));
        }
    }

    /** Records that a call is refused for lack of capacity. */
    void onRefused(RunningCall call) {
        if (sharedQueues.isConfigured()) {
            shared.onRefused(description(call));
        }
    }

    private QueuedCall description(RunningCall call) {
        return Objects.requireNonNullElseGet(descriptions.get(call), () -> describe(call));
    }

    /** Returns a copy of the queued calls in dispatch order, so that calls can be removed during iteration. */
    List<RunningCall> inDispatchOrder() {
        return isShared() ? callsOf(shared.inOrder()) : List.copyOf(calls);
    }

    private List<RunningCall> callsOf(List<QueuedCall> queued) {
        return queued.stream()
                .map(callByDescription::get)
                .filter(Objects::nonNull)
                .toList();
    }

    int length() {
        return calls.size();
    }

    void enqueue(RunningCall call) {
        calls.add(call);
        if (sharedQueues.isConfigured()) {
            shared.add(description(call));
        }
    }

    void remove(RunningCall call) {
        if (calls.remove(call) && sharedQueues.isConfigured()) {
            shared.remove(description(call));
        }
    }

    /** Returns the number of queued calls that are dispatched before {@code call}. */
    int ahead(RunningCall call) {
        return isShared()
                ? shared.ahead(description(call))
                : calls.headSet(call).size();
    }

    /** Returns whether a call that has just arrived may be sent before the queued calls here and at other instances. */
    boolean mayTakeSlot(RunningCall call, IntSupplier freeSlots) {
        return !isShared() || mayTakeSlot(call, ahead(call), freeSlots);
    }

    /**
     * Returns whether a call may be sent now.
     *
     * @param ahead the number of queued calls that come before it and remain in the queue
     * @param freeSlots the number of slots that are free as far as this instance knows
     */
    boolean mayTakeSlot(RunningCall call, int ahead, IntSupplier freeSlots) {
        return !isShared() || shared.mayTake(description(call), ahead, freeSlots);
    }

    boolean mayWait(RunningCall call, long maxWaitMillis) {
        if (!isShared()) {
            return policy.mayWait(ahead(call), maxWaitMillis);
        }
        QueuedCall description = description(call);
        // A caller that repeats at once gets the time that its first attempt had left, not a new one.
        long usedMillis = description.turn() == CallTurn.REPEATED_AT_ONCE
                ? call.context().arrivedMillis - description.firstAttemptMillis()
                : 0;
        return shared.mayWait(description, maxWaitMillis - usedMillis);
    }

    /** Returns the queued calls that can no longer be expected to get a slot in time. */
    List<RunningCall> withoutProspect() {
        // Work has already been spent on a call that was sent before, so it stays for its whole wait.
        return isShared()
                ? callsOf(shared.withoutProspect(queued -> {
                    RunningCall call = callByDescription.get(queued);
                    return call == null || !call.triedEndpoints().isEmpty()
                            ? RunningCall.MAX_REQUEUE_WAIT_MILLIS * 1_000
                            : call.remainingWaitMillis();
                }))
                : List.of();
    }

    /** Returns the delay after which the caller of a refused call should retry. */
    long retryAfterMillis(RunningCall call, double position) {
        return isShared()
                ? shared.retryAfterMillis(description(call).priority(), position)
                : policy.retryAfterMillis(calls.size(), position);
    }

    /** Returns the delay after which a caller should retry whose call has no place in the queue. */
    long retryAfterMillis(double position) {
        return policy.retryAfterMillis(calls.size(), position);
    }

    void onCapacityFreed() {
        policy.onEnded();
        if (sharedQueues.isConfigured()) {
            shared.onEnded();
        }
    }

    /** Records an event of a stream at {@code endpoint}; {@code pauseMillis} is negative for the first event. */
    void onProgress(EndpointRecord endpoint, long pauseMillis) {
        lastProgressMillis = clock.monotonicMillis();
        if (pauseMillis >= 0) {
            concurrencyLimits.onEventGap(endpoint, pauseMillis);
        }
    }

    long millisSinceProgress() {
        return clock.monotonicMillis() - lastProgressMillis;
    }
}
