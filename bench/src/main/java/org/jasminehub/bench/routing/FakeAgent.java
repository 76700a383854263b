package org.jasminehub.bench.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.jasminehub.core.admission.AdmissionController;
import org.jasminehub.core.admission.AdmissionOutcome;
import org.jasminehub.core.admission.AdmissionRequest;
import org.jasminehub.core.admission.AdmissionSettings;
import org.jasminehub.core.admission.EngineSpeed;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.routing.LoadReport;

/** An agent that combines the real {@link AdmissionController} with a fake engine. */
final class FakeAgent {
    private static final double SPEED_UPDATE_INTERVAL_MILLIS = 50;
    private static final AdmissionSettings UNBOUNDED = new AdmissionSettings(Long.MAX_VALUE / 4, 0, 30_000);
    private static final long NO_DEADLINE_MILLIS = Long.MAX_VALUE / 4;

    private final EventScheduler scheduler;
    private final EndpointId id;
    private final FailureDomain failureDomain;
    private final boolean hasAdmissionControl;
    private final FakeEngine engine;
    private final AdmissionController admission;
    private final Map<Long, PendingCall> pendingCalls = new HashMap<>();

    private record PendingCall(Call call, Listener listener) {}

    /** Is notified when a call has ended. */
    interface Listener {
        void onFinished(Call call);

        void onRefused(Call call, AdmissionOutcome.Refused refused);
    }

    /**
     * Creates an agent.
     *
     * @param hasAdmissionControl whether the queue is bounded and deadlines are enforced; otherwise every call is queued,
     *     in order of arrival within its workspace
     */
    FakeAgent(
            EventScheduler scheduler,
            EndpointId id,
            FailureDomain failureDomain,
            boolean hasAdmissionControl,
            Histogram gapMicros) {
        this.scheduler = scheduler;
        this.id = id;
        this.failureDomain = failureDomain;
        this.hasAdmissionControl = hasAdmissionControl;
        this.engine = new FakeEngine(scheduler, gapMicros, this::onFinished);
        this.admission = new AdmissionController(
                scheduler.clock(),
                hasAdmissionControl ? AdmissionSettings.defaults() : UNBOUNDED,
                speed(),
                event -> {});
        scheduler.schedule(SPEED_UPDATE_INTERVAL_MILLIS, this::updateSpeed);
    }

    EndpointId id() {
        return id;
    }

    FailureDomain failureDomain() {
        return failureDomain;
    }

    void setSlowFactor(double factor) {
        engine.setSlowFactor(factor);
        apply(admission.speedChanged(speed()));
    }

    LoadReport report() {
        return new LoadReport(
                admission.queuedTokens(),
                admission.runningRequests(),
                FakeEngine.CAPACITY_REQUESTS,
                engine.stepMillis(),
                engine.prefillTokensPerSecond(),
                true);
    }

    void offer(Call call, Listener listener) {
        pendingCalls.put(call.id, new PendingCall(call, listener));
        long deadlineMillis =
                hasAdmissionControl ? (long) call.arrivedMillis + call.shape.deadlineMillis() : NO_DEADLINE_MILLIS;
        apply(admission.offer(new AdmissionRequest(
                call.id,
                call.workspace,
                1,
                call.shape.priority(),
                call.shape.promptTokens(),
                call.shape.maxAnswerTokens(),
                deadlineMillis)));
    }

    private void onFinished(Call call) {
        PendingCall pending = pendingCalls.remove(call.id);
        if (pending != null) {
            pending.listener().onFinished(call);
        }
        apply(admission.finished(call.id, call.answerTokens));
    }

    private void updateSpeed() {
        apply(admission.speedChanged(speed()));
        scheduler.schedule(SPEED_UPDATE_INTERVAL_MILLIS, this::updateSpeed);
    }

    private void apply(List<AdmissionOutcome> outcomes) {
        for (AdmissionOutcome outcome : outcomes) {
            if (outcome instanceof AdmissionOutcome.Started) {
                PendingCall pending = pendingCalls.get(outcome.request().key());
                if (pending != null) {
                    engine.start(pending.call());
                }
            } else if (outcome instanceof AdmissionOutcome.Refused refused) {
                PendingCall pending = pendingCalls.remove(outcome.request().key());
                if (pending != null) {
                    pending.listener().onRefused(pending.call(), refused);
                }
            }
        }
    }

    private EngineSpeed speed() {
        return new EngineSpeed(FakeEngine.CAPACITY_REQUESTS, engine.stepMillis(), engine.prefillTokensPerSecond());
    }
}
