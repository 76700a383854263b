package org.jasminehub.gateway.call;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import org.jasminehub.core.balance.CallQueuePolicy;
import org.jasminehub.core.balance.StreamConcurrencyLimit;
import org.jasminehub.core.time.Clock;

/** The calls that wait for a place at one service, and what decides about them. Used on the event loop only. */
final class ServiceLine {
    /** Callers that came back are late in any case, so they follow those that can still be in time. */
    private static final Comparator<RunningCall> ORDER = Comparator.comparingInt(RunningCall::priority)
            .thenComparing(RunningCall::isCallerRetry)
            .thenComparingLong(RunningCall::sequence);

    private final Clock clock;
    private final TreeSet<RunningCall> calls = new TreeSet<>(ORDER);
    private final StreamConcurrencyLimit pace;
    private final CallQueuePolicy policy;
    private long progressMillis;

    ServiceLine(Clock clock) {
        this.clock = clock;
        this.pace = new StreamConcurrencyLimit(clock);
        this.policy = new CallQueuePolicy(clock);
    }

    StreamConcurrencyLimit pace() {
        return pace;
    }

    /** Returns the calls in the order in which they get places; the list stays as it is while calls leave. */
    List<RunningCall> inOrder() {
        return List.copyOf(calls);
    }

    int length() {
        return calls.size();
    }

    void join(RunningCall call) {
        calls.add(call);
    }

    void leave(RunningCall call) {
        calls.remove(call);
    }

    boolean mayWait(RunningCall call, long leftMillis) {
        return policy.mayWait(calls.headSet(call).size(), leftMillis);
    }

    long retryAfterMillis(double position) {
        return policy.retryAfterMillis(calls.size(), position);
    }

    void onPlaceFreed() {
        policy.onEnded();
    }

    /** Notes an event of a stream; {@code pauseMillis} is negative for the first one. */
    void onProgress(long pauseMillis) {
        progressMillis = clock.monotonicMillis();
        if (pauseMillis >= 0) {
            pace.onEventGap(pauseMillis);
        }
    }

    long millisSinceProgress() {
        return clock.monotonicMillis() - progressMillis;
    }
}
