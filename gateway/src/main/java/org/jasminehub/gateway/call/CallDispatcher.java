package org.jasminehub.gateway.call;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jasminehub.core.balance.EndpointChoicePolicy;
import org.jasminehub.core.balance.EndpointLoads;
import org.jasminehub.core.balance.RepeatBudget;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.EndpointController;
import org.jasminehub.gateway.net.EndpointClient;

/**
 * Places calls on endpoints, and keeps those that find none in line.
 *
 * <p>Used on the process's event loop only.
 */
public final class CallDispatcher {
    private static final Comparator<RunningCall> LINE_ORDER =
            Comparator.comparingInt(RunningCall::priority).thenComparingLong(RunningCall::sequence);

    /** Fewer streams than this may all be at one endpoint. */
    private static final int MIN_STREAMS_TO_JUDGE = 3;

    private final EventLoop loop;
    private final Clock clock;
    private final EndpointClient client;
    private final EndpointController endpoints;
    private final EndpointLoads loads;
    private final EndpointChoicePolicy choice;
    private final RepeatBudget budget;
    private final RandomGenerator random;
    private final EventSink events;
    private final ConcurrencyLimits concurrency;
    private final Map<String, TreeSet<RunningCall>> lines = new HashMap<>();
    private final Set<RunningCall> running = new HashSet<>();
    private final Map<String, Long> progressMillis = new HashMap<>();
    private long nextSequence;

    /** Creates a dispatcher without calls. */
    public CallDispatcher(
            EventLoop loop,
            Clock clock,
            EndpointClient client,
            EndpointController endpoints,
            EndpointLoads loads,
            EndpointChoicePolicy choice,
            RepeatBudget budget,
            ConcurrencyLimits concurrency,
            RandomGenerator random,
            EventSink events) {
        this.loop = loop;
        this.clock = clock;
        this.client = client;
        this.endpoints = endpoints;
        this.loads = loads;
        this.choice = choice;
        this.budget = budget;
        this.concurrency = concurrency;
        this.random = random;
        this.events = events;
    }

    /** Returns how many calls are open. */
    public int openCalls() {
        return running.size();
    }

    /** Takes the calls in line as far as endpoints have room for them. */
    public void drainLines() {
        for (TreeSet<RunningCall> line : lines.values()) {
            for (RunningCall call : new ArrayList<>(line)) {
                Optional<EndpointRecord> endpoint = choose(call);
                if (endpoint.isEmpty()) {
                    break;
                }
                line.remove(call);
                call.send(endpoint.get());
            }
        }
    }

    void onCall(RunningCall call) {
        running.add(call);
        budget.onCall(call.service());
    }

    void onDone(RunningCall call) {
        running.remove(call);
        TreeSet<RunningCall> line = lines.get(call.service());
        if (line != null) {
            line.remove(call);
        }
    }

    /** Returns an endpoint with room for the call, empty where none has. */
    Optional<EndpointRecord> choose(RunningCall call) {
        List<EndpointRecord> serving = endpoints.serving(call.service());
        return choice.choose(serving, call.tried(), concurrency.maxCallsPerSlot(call.profile()));
    }

    boolean hasEndpoints(String service) {
        return !endpoints.serving(service).isEmpty();
    }

    void waitInLine(RunningCall call) {
        lines.computeIfAbsent(call.service(), service -> new TreeSet<>(LINE_ORDER))
                .add(call);
    }

    int waiting(String service) {
        TreeSet<RunningCall> line = lines.get(service);
        return line == null ? 0 : line.size();
    }

    void onSent(EndpointId endpoint) {
        loads.onSent(endpoint);
    }

    void onAttemptEnded(EndpointId endpoint, boolean isSuccess) {
        loads.onEnded(endpoint);
        if (isSuccess) {
            loads.onSuccess(endpoint);
        } else {
            loads.onFailure(endpoint);
        }
        loop.execute(this::drainLines);
    }

    void onAttemptCancelled(EndpointId endpoint) {
        loads.onEnded(endpoint);
        loop.execute(this::drainLines);
    }

    /** Notes that a stream of {@code service} has made progress. */
    void onProgress(String service) {
        progressMillis.put(service, clock.monotonicMillis());
    }

    /** Returns whether no stream of {@code service} has made progress for {@code millis}, though several run here. */
    boolean isStalled(String service, long millis) {
        long runningStreams = running.stream()
                .filter(call -> call.isHeadSent() && call.service().equals(service))
                .count();
        return runningStreams >= MIN_STREAMS_TO_JUDGE
                && clock.monotonicMillis() - progressMillis.getOrDefault(service, 0L) >= millis;
    }

    int openCallsAt(EndpointId endpoint) {
        return loads.openCalls(endpoint);
    }

    ScheduledFuture<?> after(long millis, Runnable action) {
        return loop.schedule(action, Math.max(0, millis), TimeUnit.MILLISECONDS);
    }

    boolean tryRepeat(String service) {
        return budget.tryRepeat(service);
    }

    long nextSequence() {
        return nextSequence++;
    }

    double position() {
        return random.nextDouble();
    }

    Clock clock() {
        return clock;
    }

    EndpointClient client() {
        return client;
    }

    EventSink events() {
        return events;
    }
}
