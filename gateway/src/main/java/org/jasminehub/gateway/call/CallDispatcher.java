package org.jasminehub.gateway.call;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.core.balance.CallRetryBudget;
import org.jasminehub.core.balance.EndpointChoicePolicy;
import org.jasminehub.core.balance.EndpointLoads;
import org.jasminehub.core.balance.GroupBackoff;
import org.jasminehub.core.balance.StreamConcurrencyLimit;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.EngineProfile;
import org.jasminehub.core.serving.GroupSeat;
import org.jasminehub.core.serving.ServiceProfile;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.EndpointController;
import org.jasminehub.gateway.net.EndpointClient;

/**
 * Places calls on endpoints, and keeps those that find none in line.
 *
 * <p>Used on the process's event loop only.
 */
public final class CallDispatcher {
    /** Fewer streams than this may all be at one endpoint. */
    private static final int MIN_STREAMS_TO_JUDGE = 3;

    private final EventLoop loop;
    private final Clock clock;
    private final EndpointClient client;
    private final EndpointController endpoints;
    private final EndpointLoads loads;
    private final EndpointChoicePolicy choice;
    private final CallRetryBudget budget;
    private final RandomGenerator random;
    private final EventSink events;
    private final ConcurrencyLimits concurrency;
    private final Map<String, ServiceLine> lines = new HashMap<>();
    private final GroupBackoff pauses;
    private final Set<RunningCall> running = new HashSet<>();
    private long nextSequence;

    /** Creates a dispatcher without calls. */
    public CallDispatcher(
            EventLoop loop,
            Clock clock,
            EndpointClient client,
            EndpointController endpoints,
            EndpointLoads loads,
            EndpointChoicePolicy choice,
            CallRetryBudget budget,
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
        this.pauses = new GroupBackoff(clock);
    }

    /** Returns how many calls are open. */
    public int openCalls() {
        return running.size();
    }

    /** Takes the calls in line as far as endpoints have room for them. */
    public void drainLines() {
        for (ServiceLine line : new ArrayList<>(lines.values())) {
            for (RunningCall call : line.inOrder()) {
                Optional<EndpointRecord> endpoint = choose(call);
                if (endpoint.isEmpty()) {
                    break;
                }
                line.leave(call);
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
        line(call.service()).leave(call);
    }

    /** Returns an endpoint with room for the call, empty where none has. */
    Optional<EndpointRecord> choose(RunningCall call) {
        List<EndpointRecord> serving = endpoints.serving(call.service()).stream()
                .filter(endpoint -> endpoint.seat() == null
                        || !pauses.isBackingOff(endpoint.seat().group()))
                .toList();
        return choice.choose(serving, call.tried(), maxCallsPerSlot(call, serving));
    }

    private double maxCallsPerSlot(RunningCall call, List<EndpointRecord> serving) {
        ServiceProfile profile = call.profile();
        double limit = concurrency.maxCallsPerSlot(profile);
        EngineProfile engine = profile == null ? null : profile.engine();
        if (engine == null) {
            return limit;
        }
        double open = 0;
        double slots = 0;
        for (EndpointRecord endpoint : serving) {
            open += loads.openCalls(endpoint.id());
            slots += endpoint.slots();
        }
        StreamConcurrencyLimit pace = line(call.service()).pace();
        return Math.min(limit, pace.callsPerSlot(engine, call.route().maxPauseMillis(), open / Math.max(1, slots)));
    }

    private ServiceLine line(String service) {
        return lines.computeIfAbsent(service, each -> new ServiceLine(clock));
    }

    boolean hasEndpoints(String service) {
        return !endpoints.serving(service).isEmpty();
    }

    /** Returns whether a call may get a place within {@code leftMillis}. */
    boolean mayWait(RunningCall call, long leftMillis) {
        return line(call.service()).mayWait(call, leftMillis);
    }

    void waitInLine(RunningCall call) {
        line(call.service()).join(call);
    }

    int waiting(String service) {
        return line(service).length();
    }

    /** Returns when a caller that was refused for want of a place should come back. */
    long retryAfterMillis(String service) {
        return line(service).retryAfterMillis(random.nextDouble());
    }

    void onSent(EndpointId endpoint) {
        loads.onSent(endpoint);
    }

    void onAttemptServed(String service, EndpointId endpoint) {
        line(service).onPlaceFreed();
        loads.onEnded(endpoint);
        loads.onSuccess(endpoint);
        loop.execute(this::drainLines);
    }

    void onAttemptFailed(EndpointRecord endpoint, AttemptEnd end) {
        loads.onEnded(endpoint.id());
        loads.onFailure(endpoint.id());
        GroupSeat seat = endpoint.seat();
        if (end == AttemptEnd.NOT_RUN && seat != null && pauses.onRefused(seat.group())) {
            after(GroupBackoff.BACKOFF_MILLIS, this::drainLines);
        }
        loop.execute(this::drainLines);
    }

    void onAttemptCancelled(String service, EndpointId endpoint) {
        line(service).onPlaceFreed();
        loads.onEnded(endpoint);
        loop.execute(this::drainLines);
    }

    /**
     * Notes that a stream of {@code service} at {@code endpoint} has made progress.
     *
     * @param pauseMillis the time since its last event, negative for its first one
     */
    void onProgress(String service, EndpointRecord endpoint, long pauseMillis) {
        line(service).onProgress(pauseMillis);
        if (endpoint.seat() != null) {
            pauses.onProgress(endpoint.seat().group());
        }
    }

    /** Returns whether no stream of {@code service} has made progress for {@code millis}, though several run here. */
    boolean isStalled(String service, long millis) {
        long runningStreams = running.stream()
                .filter(call -> call.isHeadSent() && call.service().equals(service))
                .count();
        return runningStreams >= MIN_STREAMS_TO_JUDGE && line(service).millisSinceProgress() >= millis;
    }

    int openCallsAt(EndpointId endpoint) {
        return loads.openCalls(endpoint);
    }

    ScheduledFuture<?> after(long millis, Runnable action) {
        return loop.schedule(action, Math.max(0, millis), TimeUnit.MILLISECONDS);
    }

    boolean tryRetry(String service) {
        return budget.tryRetry(service);
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
