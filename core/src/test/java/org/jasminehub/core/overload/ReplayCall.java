package org.jasminehub.core.overload;

import java.util.List;
import org.jasminehub.core.balance.CallQueuePolicy;
import org.jasminehub.core.serving.CallKind;
import org.jasminehub.core.serving.Route;
import org.jasminehub.core.serving.WeightedService;

/** One attempt of a caller in a replay. */
final class ReplayCall {
    static final List<Route> ROUTES = List.of(route(0, 403), route(1, 403), route(2, 803));

    final int priority;
    final String workspace;
    final boolean isImpatient;
    final long firstAttemptMillis;
    final long arrivedMillis;
    final long sequence;
    final int refusals;
    QueuedCall queued = new QueuedCall(0, CallTurn.IN_TIME, "", 0, true, 0);
    boolean isWaiting;
    int sends;
    long waitEndMillis;

    ReplayCall(
            int priority,
            String workspace,
            boolean isImpatient,
            long firstAttemptMillis,
            long arrivedMillis,
            long sequence,
            int refusals) {
        this.priority = priority;
        this.workspace = workspace;
        this.isImpatient = isImpatient;
        this.firstAttemptMillis = firstAttemptMillis;
        this.arrivedMillis = arrivedMillis;
        this.sequence = sequence;
        this.refusals = refusals;
    }

    private static Route route(int priority, long targetMillis) {
        return new Route(
                "route-" + priority,
                "h.example",
                "/",
                CallKind.STREAMING,
                8_000,
                targetMillis,
                120,
                priority,
                List.of(new WeightedService("engines", 1)),
                2,
                false,
                true);
    }

    Route route() {
        return ROUTES.get(priority);
    }

    long allowedMillis() {
        return route().timeoutMillis() - (arrivedMillis - firstAttemptMillis);
    }

    long maxWaitMillis() {
        return CallQueuePolicy.maxWaitMillis(route(), allowedMillis());
    }

    boolean isCallerRetry() {
        return CallQueuePolicy.isCallerRetry(route(), allowedMillis());
    }

    QueuedCall arriving() {
        return QueuedCall.arriving(priority, route(), allowedMillis(), workspace, arrivedMillis, sequence);
    }

    /** The caller's next attempt. */
    ReplayCall repeated(long nowMillis, long nextSequence) {
        return new ReplayCall(
                priority, workspace, isImpatient, firstAttemptMillis, nowMillis, nextSequence, refusals + 1);
    }
}
