package org.jasminehub.core.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.jasminehub.core.balance.CallQueuePolicy;
import org.jasminehub.core.time.Clock;

/** The decisions of one instance about its queue in a replay. */
interface ReplayDecisions {
    void admit(ReplayCall call);

    void add(ReplayCall call);

    void remove(ReplayCall call);

    List<ReplayCall> inOrder();

    int ahead(ReplayCall call);

    boolean mayTake(ReplayCall call, int ahead, IntSupplier freeSlots);

    boolean mayWait(ReplayCall call, long leftMillis);

    List<ReplayCall> withoutProspect(long nowMillis);

    long retryAfterMillis(ReplayCall call, double position);

    void onStarted(ReplayCall call);

    void onRefused(ReplayCall call);

    void onEnded();

    QueueStatus status();

    void onPeerStatus(String peer, QueueStatus status);

    /** Each instance decides by its own queue, as without shared queues. */
    final class Alone implements ReplayDecisions {
        private static final Comparator<ReplayCall> ORDER = Comparator.<ReplayCall>comparingInt(call -> call.priority)
                .thenComparing(ReplayCall::isCallerRetry)
                .thenComparingLong(call -> call.sequence);

        private final CallQueuePolicy policy;
        private final List<ReplayCall> calls = new ArrayList<>();

        Alone(Clock clock) {
            policy = new CallQueuePolicy(clock);
        }

        @Override
        public void admit(ReplayCall call) {}

        @Override
        public void add(ReplayCall call) {
            calls.add(call);
            calls.sort(ORDER);
        }

        @Override
        public void remove(ReplayCall call) {
            calls.remove(call);
        }

        @Override
        public List<ReplayCall> inOrder() {
            return List.copyOf(calls);
        }

        @Override
        public int ahead(ReplayCall call) {
            return (int) calls.stream()
                    .filter(other -> ORDER.compare(other, call) < 0)
                    .count();
        }

        @Override
        public boolean mayTake(ReplayCall call, int ahead, IntSupplier freeSlots) {
            return true;
        }

        @Override
        public boolean mayWait(ReplayCall call, long leftMillis) {
            return policy.mayWait(ahead(call), leftMillis);
        }

        @Override
        public List<ReplayCall> withoutProspect(long nowMillis) {
            return List.of();
        }

        @Override
        public long retryAfterMillis(ReplayCall call, double position) {
            return policy.retryAfterMillis(calls.size(), position);
        }

        @Override
        public void onStarted(ReplayCall call) {}

        @Override
        public void onRefused(ReplayCall call) {}

        @Override
        public void onEnded() {
            policy.onEnded();
        }

        @Override
        public QueueStatus status() {
            return QueueStatus.IDLE;
        }

        @Override
        public void onPeerStatus(String peer, QueueStatus status) {}
    }

    /** The instances share their queues. */
    final class Shared implements ReplayDecisions {
        private static final String SERVICE = "engines";

        private final FleetQueues fleet;
        private final SharedServiceQueue queue;
        private final Map<QueuedCall, ReplayCall> calls = new HashMap<>();

        Shared(Clock clock, RandomGenerator random, long statusIntervalMillis) {
            fleet = new FleetQueues(clock);
            queue = new SharedServiceQueue(clock, fleet, SERVICE, random);
            queue.setStatusIntervalMillis(statusIntervalMillis);
        }

        @Override
        public void admit(ReplayCall call) {
            call.queued = queue.admit(call.arriving());
        }

        @Override
        public void add(ReplayCall call) {
            calls.put(call.queued, call);
            queue.add(call.queued);
        }

        @Override
        public void remove(ReplayCall call) {
            calls.remove(call.queued);
            queue.remove(call.queued);
        }

        @Override
        public List<ReplayCall> inOrder() {
            return queue.inOrder().stream().map(calls::get).toList();
        }

        @Override
        public int ahead(ReplayCall call) {
            return queue.ahead(call.queued);
        }

        @Override
        public boolean mayTake(ReplayCall call, int ahead, IntSupplier freeSlots) {
            return queue.mayTake(call.queued, ahead, freeSlots);
        }

        @Override
        public boolean mayWait(ReplayCall call, long leftMillis) {
            long elapsedMillis = call.queued.turn() == CallTurn.REPEATED_AT_ONCE
                    ? CallTurn.sinceFirstAttemptMillis(call.route(), call.allowedMillis())
                    : 0;
            return queue.mayWait(call.queued, leftMillis - elapsedMillis);
        }

        @Override
        public List<ReplayCall> withoutProspect(long nowMillis) {
            return queue
                    .withoutProspect(call ->
                            calls.get(call).sends > 0 ? Long.MAX_VALUE / 4 : calls.get(call).waitEndMillis - nowMillis)
                    .stream()
                    .map(calls::get)
                    .toList();
        }

        @Override
        public long retryAfterMillis(ReplayCall call, double position) {
            return queue.retryAfterMillis(call.priority, position);
        }

        @Override
        public void onStarted(ReplayCall call) {
            queue.onStarted(call.queued);
        }

        @Override
        public void onRefused(ReplayCall call) {
            queue.onRefused(call.queued);
        }

        @Override
        public void onEnded() {
            queue.onEnded();
        }

        @Override
        public QueueStatus status() {
            return queue.status();
        }

        @Override
        public void onPeerStatus(String peer, QueueStatus status) {
            fleet.onPeerStatus(peer, status.equals(QueueStatus.IDLE) ? Map.of() : Map.of(SERVICE.hashCode(), status));
        }
    }
}
