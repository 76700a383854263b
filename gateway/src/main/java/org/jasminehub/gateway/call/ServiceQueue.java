package org.jasminehub.gateway.call;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import org.jasminehub.core.balance.CallQueuePolicy;
import org.jasminehub.core.balance.GroupConcurrencyLimits;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;

/** The queue of calls that wait for capacity at one service, with its limits. Must be used on the event loop only. */
final class ServiceQueue {
    /**
     * Retries of refused callers miss their target latency in any case, so they follow calls that can still meet it.
     */
    private static final Comparator<RunningCall> ORDER = Comparator.comparingInt(RunningCall::priority)
            .thenComparing(RunningCall::isCallerRetry)
            .thenComparingLong(RunningCall::sequence);

    private final Clock clock;
    private final TreeSet<RunningCall> calls = new TreeSet<>(ORDER);
    private final GroupConcurrencyLimits concurrencyLimits;
    private final CallQueuePolicy policy;
    private long lastProgressMillis;

    ServiceQueue(Clock clock) {
        this.clock = clock;
        this.concurrencyLimits = new GroupConcurrencyLimits(clock);
        this.policy = new CallQueuePolicy(clock);
    }

    GroupConcurrencyLimits concurrencyLimits() {
        return concurrencyLimits;
    }

    /** Returns a copy of the queued calls in dispatch order, so that calls can be removed during iteration. */
    List<RunningCall> inDispatchOrder() {
        return List.copyOf(calls);
    }

    int length() {
        return calls.size();
    }

    void enqueue(RunningCall call) {
        calls.add(call);
    }

    void remove(RunningCall call) {
        calls.remove(call);
    }

    /** Returns the number of queued calls that are dispatched before {@code call}. */
    int ahead(RunningCall call) {
        return calls.headSet(call).size();
    }

    boolean mayWait(RunningCall call, long maxWaitMillis) {
        return policy.mayWait(ahead(call), maxWaitMillis);
    }

    long retryAfterMillis(double position) {
        return policy.retryAfterMillis(calls.size(), position);
    }

    void onCapacityFreed() {
        policy.onEnded();
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
