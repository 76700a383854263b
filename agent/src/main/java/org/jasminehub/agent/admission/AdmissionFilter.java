package org.jasminehub.agent.admission;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jasminehub.agent.call.AgentCall;
import org.jasminehub.agent.call.CallFilter;
import org.jasminehub.agent.call.CallHandler;
import org.jasminehub.agent.call.CallResult;
import org.jasminehub.core.admission.AdmissionController;
import org.jasminehub.core.admission.AdmissionOutcome;
import org.jasminehub.core.admission.AdmissionRequest;
import org.jasminehub.core.admission.AdmissionSettings;
import org.jasminehub.core.admission.EngineSpeed;
import org.jasminehub.core.document.Priority;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.time.Clock;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.EndpointLoad;
import org.jasminehub.wire.generated.PriorityClass;

/**
 * Queues calls until the engine has capacity for them, and refuses calls that the engine cannot answer in time.
 *
 * <p>{@link #advance} must be called every {@value #ADVANCE_INTERVAL_MILLIS} ms, and {@link #onLoad} with each load
 * report of the engine. Thread-safe.
 */
public final class AdmissionFilter implements CallFilter {
    /** The interval at which {@link #advance} must be called. */
    public static final int ADVANCE_INTERVAL_MILLIS = 20;

    /** The engine speed that is assumed until the first load report. */
    private static final EngineSpeed INITIAL_SPEED = new EngineSpeed(32, 30, 10_000);

    private static final long UNKNOWN_TOKENS = -1;

    private final AdmissionController controller;
    private final AtomicLong nextKey = new AtomicLong();
    private final Map<Long, WaitingCall> waiting = new ConcurrentHashMap<>();

    private record WaitingCall(AgentCall call, CallHandler next) {}

    /** Creates a filter with an empty queue. */
    public AdmissionFilter(Clock clock, AdmissionSettings settings, EventSink events) {
        this.controller = new AdmissionController(clock, settings, INITIAL_SPEED, events);
    }

    @Override
    public void handle(AgentCall call, CallHandler next) {
        long key = nextKey.getAndIncrement();
        waiting.put(key, new WaitingCall(call, next));
        List<AdmissionOutcome> outcomes = controller.offer(requestOf(key, call));
        call.whenEnded(result -> onEnded(key, result));
        handleOutcomes(outcomes);
    }

    /**
     * Starts the waiting calls for which there is capacity, and refuses those that can no longer be answered in time.
     */
    public void advance() {
        handleOutcomes(controller.advance());
    }

    /** Applies a load report of the engine; returns the report with the work that is queued in this filter added. */
    public EndpointLoad onLoad(EndpointLoad load) {
        boolean hasSpeed =
                load.getCapacityRequests() > 0 && load.getStepMillis() > 0 && load.getPrefillTokensPerSecond() > 0;
        if (hasSpeed) {
            handleOutcomes(controller.speedChanged(new EngineSpeed(
                    load.getCapacityRequests(), load.getStepMillis(), load.getPrefillTokensPerSecond())));
        }
        return load.toBuilder()
                .setQueuedTokens(load.getQueuedTokens() + controller.queuedTokens())
                .build();
    }

    /** Returns the queued work, in tokens. */
    public long queuedTokens() {
        return controller.queuedTokens();
    }

    private void onEnded(long key, CallResult result) {
        waiting.remove(key);
        boolean isCancelled = result == CallResult.CANCELLED;
        handleOutcomes(isCancelled ? controller.canceled(key) : controller.finished(key, UNKNOWN_TOKENS));
    }

    private void handleOutcomes(List<AdmissionOutcome> outcomes) {
        for (AdmissionOutcome outcome : outcomes) {
            if (outcome instanceof AdmissionOutcome.Started started) {
                start(started);
            } else if (outcome instanceof AdmissionOutcome.Refused refused) {
                refuse(refused);
            }
        }
    }

    private void start(AdmissionOutcome.Started started) {
        WaitingCall waitingCall = waiting.remove(started.request().key());
        if (waitingCall != null && !waitingCall.call().hasEnded()) {
            waitingCall.next().handle(waitingCall.call());
        }
    }

    private void refuse(AdmissionOutcome.Refused refused) {
        WaitingCall waitingCall = waiting.remove(refused.request().key());
        if (waitingCall != null) {
            waitingCall
                    .call()
                    .refuse(
                            refused.code(),
                            Outcome.NOT_RUN,
                            refused.retryAfterMillis(),
                            "the endpoint has " + controller.queuedTokens() + " tokens of work waiting");
        }
    }

    private static AdmissionRequest requestOf(long key, AgentCall call) {
        CallStart start = call.start();
        return new AdmissionRequest(
                key,
                new WorkspaceId(start.getWorkspace()),
                Math.max(1, start.getWorkspaceWeight()),
                priorityOf(start.getPriority()),
                Integer.toUnsignedLong(start.getEstimatedPromptTokens()),
                Integer.toUnsignedLong(start.getMaxAnswerTokens()),
                call.deadlineMillis());
    }

    private static Priority priorityOf(PriorityClass priority) {
        return switch (priority) {
            case URGENT -> Priority.URGENT;
            case BATCH -> Priority.BATCH;
            default -> Priority.NORMAL;
        };
    }
}
