package org.jasminehub.gateway.call;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.core.balance.CallRetryBudget;
import org.jasminehub.core.balance.EndpointLoads;
import org.jasminehub.core.balance.GroupBackoff;
import org.jasminehub.core.balance.QuietPeriods;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.locality.DomainAwareChoice;
import org.jasminehub.core.ratelimit.RatePermits;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.GroupSeat;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.cold.ColdEndpointController;
import org.jasminehub.gateway.control.EndpointController;
import org.jasminehub.gateway.control.EndpointMonitors;
import org.jasminehub.gateway.net.ConnectionUse;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.gateway.net.Exchange;
import org.jasminehub.gateway.net.ResponseSink;
import org.jasminehub.gateway.quarantine.QuarantineController;

/**
 * Dispatches calls to endpoints and queues those for which no endpoint has capacity.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class CallDispatcher {
    /**
     * With fewer open streams than this, all may be at a single endpoint, so they cannot show that a group is stalled.
     */
    private static final int MIN_STREAMS_FOR_STALL = 3;

    private final EventLoop loop;
    private final Clock clock;
    private final EndpointClient client;
    private final EndpointController endpoints;
    private final EndpointMonitors monitors;
    private final QuietPeriods quiet;
    private final RatePermits permits;
    private final ColdEndpointController cold;
    private final EndpointLoads loads;
    private final DomainTraffic traffic;
    private final EndpointSelector selector;
    private final ServiceAvailability availability;
    private final CallRetryBudget retryBudget;
    private final QuarantineController quarantine;
    private final RandomGenerator random;
    private final EventSink events;
    private final SharedQueues sharedQueues;
    private final Map<String, ServiceQueue> queues = new HashMap<>();
    private final GroupBackoff groupBackoff;
    private final Set<RunningCall> running = new HashSet<>();
    private long nextSequence;

    /** Creates a dispatcher without calls. */
    public CallDispatcher(
            EventLoop loop,
            Clock clock,
            EndpointClient client,
            EndpointController endpoints,
            EndpointMonitors monitors,
            RatePermits permits,
            ColdEndpointController cold,
            EndpointLoads loads,
            DomainAwareChoice choice,
            DomainTraffic traffic,
            CallRetryBudget retryBudget,
            QuarantineController quarantine,
            ConcurrencyLimits concurrency,
            SharedQueues sharedQueues,
            RandomGenerator random,
            EventSink events) {
        this.loop = loop;
        this.clock = clock;
        this.client = client;
        this.endpoints = endpoints;
        this.monitors = monitors;
        this.quiet = monitors.quietPeriods();
        this.permits = permits;
        this.cold = cold;
        this.loads = loads;
        this.traffic = traffic;
        this.retryBudget = retryBudget;
        this.quarantine = quarantine;
        this.random = random;
        this.events = events;
        this.sharedQueues = sharedQueues;
        this.groupBackoff = new GroupBackoff(clock);
        this.availability = new ServiceAvailability(
                endpoints, quiet, cold, random, service -> queue(service).retryAfterMillis(random.nextDouble()));
        this.selector = new EndpointSelector(
                endpoints,
                quiet,
                loads,
                choice,
                groupBackoff,
                concurrency,
                permits,
                cold,
                this::after,
                this::dispatchQueued);
    }

    /** Returns how many calls are open. */
    public int openCalls() {
        return running.size();
    }

    /** Ends the open calls because the process ends; those without a response so far get an error response. */
    public void endOpenCalls() {
        List.copyOf(running).forEach(RunningCall::endWithProcess);
    }

    /** Ends the calls without output whose prompts are quarantined, before they crash another endpoint. */
    public void refuseQuarantined() {
        List.copyOf(running).forEach(RunningCall::endIfQuarantined);
    }

    /** Sends queued calls while endpoints have capacity for them, and refuses those whose endpoints are unavailable. */
    public void dispatchQueued() {
        for (Map.Entry<String, ServiceQueue> service : List.copyOf(queues.entrySet())) {
            ServiceQueue queue = service.getValue();
            if (queue.length() > 0 && availability.hasEndpoints(service.getKey())) {
                queue.inDispatchOrder()
                        .forEach(call -> unavailability(service.getKey()).ifPresent(call::refuse));
            }
            sendQueued(queue);
            queue.withoutProspect().forEach(RunningCall::refuseForCapacity);
            refuseBeyondRateLimits(service.getKey(), queue);
        }
    }

    private void sendQueued(ServiceQueue queue) {
        int ahead = 0;
        for (RunningCall call : queue.inDispatchOrder()) {
            if (!queue.mayTakeSlot(call, ahead, () -> selector.freeSlots(call, queue))) {
                selector.reconsiderSoon();
                ahead++;
                if (selector.freeSlots(call, queue) == 0) {
                    break;
                }
                continue;
            }
            Optional<EndpointRecord> endpoint = selector.choose(call, queue);
            if (endpoint.isEmpty() && call.attempts().isRestricted()) {
                // An endpoint that this call may not use, as that of its open attempt, may have capacity for the next
                // calls.
                continue;
            }
            if (endpoint.isEmpty()) {
                break;
            }
            queue.remove(call);
            call.send(endpoint.get());
        }
    }

    /** Refuses the queued calls that cannot get a permit in time because all endpoints of {@code service} limit requests. */
    private void refuseBeyondRateLimits(String service, ServiceQueue queue) {
        List<EndpointRecord> serving = endpoints.serving(service);
        int ahead = 0;
        for (RunningCall call : queue.inDispatchOrder()) {
            OptionalLong waitMillis = permits.expectedWaitMillis(serving, ahead);
            if (waitMillis.isEmpty()) {
                return;
            }
            if (waitMillis.getAsLong() > call.remainingWaitMillis()) {
                call.refuseForCapacity();
            } else {
                ahead++;
            }
        }
    }

    void onCall(RunningCall call) {
        running.add(call);
        queue(call.service()).onCall(call);
        retryBudget.onCall(call.service());
    }

    void onRefused(ErrorCode code) {
        if (code == ErrorCode.ENDPOINTS_COLD) {
            cold.onRefused();
        }
    }

    void onDone(RunningCall call) {
        running.remove(call);
        queue(call.service()).onDone(call);
    }

    /**
     * Returns an endpoint with capacity for a call that is not queued, or empty if there is none or it is left to queued
     * calls, here or at other instances.
     */
    Optional<EndpointRecord> choose(RunningCall call) {
        ServiceQueue queue = queue(call.service());
        if (!queue.mayTakeSlot(call, () -> selector.freeSlots(call, queue))) {
            selector.reconsiderSoon();
            return Optional.empty();
        }
        return selector.choose(call, queue);
    }

    private ServiceQueue queue(String service) {
        return queues.computeIfAbsent(service, each -> new ServiceQueue(each, clock, sharedQueues));
    }

    /** Returns the refusal of calls to {@code service} if none of its endpoints accepts calls, else empty. */
    Optional<Refusal> unavailability(String service) {
        return availability.refusal(service);
    }

    Exchange send(
            EndpointRecord endpoint, FullHttpRequest request, String requestId, ConnectionUse use, ResponseSink sink) {
        EndpointAddress address = new EndpointAddress(endpoint.host(), endpoint.port());
        return client.send(address, request, use, sink, cold.guard(endpoint, monitors.forCall(endpoint, requestId)));
    }

    /** Returns whether the call is likely to get capacity within {@code maxWaitMillis}. */
    boolean mayWait(RunningCall call, long maxWaitMillis) {
        ServiceQueue queue = queue(call.service());
        return queue.mayWait(call, maxWaitMillis)
                && permits.expectedWaitMillis(endpoints.serving(call.service()), queue.ahead(call))
                                .orElse(0)
                        <= maxWaitMillis;
    }

    /** Returns the refusal of {@code call} because no endpoint of its service has capacity for it in time. */
    Refusal noCapacity(RunningCall call) {
        String service = call.service();
        ServiceQueue queue = queue(service);
        queue.onRefused(call);
        OptionalLong permitMillis = permits.expectedWaitMillis(endpoints.serving(service), queue.ahead(call));
        if (permitMillis.isPresent()) {
            return Refusal.retryable(
                    ErrorCode.ENDPOINTS_LIMITED,
                    RatePermits.retryAfterMillis(permitMillis.getAsLong(), random.nextDouble()),
                    "all endpoints of " + service + " limit their requests; " + queue.length() + " calls in line");
        }
        return Refusal.retryable(
                ErrorCode.OVERLOADED,
                retryAfterMillis(call),
                "no endpoint of " + service + " had room in time; " + queue.length() + " calls in line");
    }

    /** Returns whether the rate limits of the endpoints of {@code service} allow a call to be sent to a usable one now. */
    boolean isAnyPermitted(String service, Predicate<EndpointId> isUsable) {
        return endpoints.serving(service).stream()
                .anyMatch(endpoint -> isUsable.test(endpoint.id()) && permits.maySend(endpoint));
    }

    /** Returns whether an endpoint of {@code service} that {@code isUsable} accepts calls, as far as is known here. */
    boolean isAnyServing(String service, Predicate<EndpointId> isUsable) {
        return endpoints.serving(service).stream().anyMatch(endpoint -> isUsable.test(endpoint.id()));
    }

    void enqueue(RunningCall call) {
        queue(call.service()).enqueue(call);
    }

    void dequeue(RunningCall call) {
        queue(call.service()).remove(call);
    }

    /** Returns the delay after which the caller of a call that is refused for lack of capacity should retry. */
    long retryAfterMillis(RunningCall call) {
        return queue(call.service()).retryAfterMillis(call, random.nextDouble());
    }

    void onSent(RunningCall call, EndpointRecord endpoint) {
        queue(call.service()).onSent(call);
        loads.onSent(endpoint.id());
        traffic.onSent(endpoint);
        quiet.onSent(endpoint.incarnation());
        permits.onSent(endpoint);
    }

    /** Records that an attempt that was sent at {@code sentMillis} ended in any way. */
    void onAttemptEnded(EndpointRecord endpoint, long sentMillis) {
        quiet.onEnded(endpoint.incarnation(), sentMillis);
    }

    void onAttemptServed(String service, EndpointId endpoint) {
        queue(service).onCapacityFreed();
        loads.onEnded(endpoint);
        loads.onSuccess(endpoint);
        loop.execute(this::dispatchQueued);
    }

    void onAttemptFailed(EndpointRecord endpoint, AttemptEnd end) {
        loads.onEnded(endpoint.id());
        loads.onFailure(endpoint.id());
        GroupSeat seat = endpoint.seat();
        if (end == AttemptEnd.NOT_RUN && seat != null && groupBackoff.onRefused(seat.group())) {
            after(GroupBackoff.BACKOFF_MILLIS, this::dispatchQueued);
        }
        loop.execute(this::dispatchQueued);
    }

    /** Records that an attempt ended without having been written to a connection. */
    void onAttemptWithheld(EndpointId endpoint) {
        loads.onEnded(endpoint);
    }

    void onAttemptCancelled(String service, EndpointId endpoint) {
        queue(service).onCapacityFreed();
        loads.onEnded(endpoint);
        loop.execute(this::dispatchQueued);
    }

    /**
     * Records progress of a stream of {@code service} at {@code endpoint}.
     *
     * @param pauseMillis the time since the stream's previous event, negative for its first event
     */
    void onProgress(String service, EndpointRecord endpoint, long pauseMillis) {
        queue(service).onProgress(endpoint, pauseMillis);
        if (endpoint.seat() != null) {
            groupBackoff.onProgress(endpoint.seat().group());
        }
    }

    /** Returns whether several streams of {@code service} are open and none has made progress for {@code millis}. */
    boolean isStalled(String service, long millis) {
        long openStreams = running.stream()
                .filter(call -> call.isHeadSent() && call.service().equals(service))
                .count();
        return openStreams >= MIN_STREAMS_FOR_STALL && queue(service).millisSinceProgress() >= millis;
    }

    int openCallsAt(EndpointId endpoint) {
        return loads.openCalls(endpoint);
    }

    ScheduledFuture<?> after(long millis, Runnable action) {
        return loop.schedule(action, Math.max(0, millis), TimeUnit.MILLISECONDS);
    }

    /** Returns whether a call may be sent once more, which uses up part of the retry budget. */
    boolean tryRetry(String service) {
        long permitMillis = permits.expectedWaitMillis(
                        endpoints.serving(service), queue(service).length())
                .orElse(0);
        return permitMillis <= RunningCall.MAX_REQUEUE_WAIT_MILLIS
                && unavailability(service).isEmpty()
                && retryBudget.tryRetry(service);
    }

    long nextSequence() {
        return nextSequence++;
    }

    double nextRandom() {
        return random.nextDouble();
    }

    QuarantineController quarantine() {
        return quarantine;
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
