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

/** An agent with the real admission before a fake engine. */
final class FakeAgent {
    private static final double REVIEW_MILLIS = 50;
    private static final AdmissionSettings UNBOUNDED = new AdmissionSettings(Long.MAX_VALUE / 4, 0, 30_000);
    private static final long NO_DEADLINE_MILLIS = Long.MAX_VALUE / 4;

    private final Schedule schedule;
    private final EndpointId id;
    private final FailureDomain failureDomain;
    private final boolean admits;
    private final FakeEngine engine;
    private final AdmissionController admission;
    private final Map<Long, Waiting> calls = new HashMap<>();

    private record Waiting(Call call, Listener listener) {}

    /** Learns how a call ended. */
    interface Listener {
        void finished(Call call);

        void refused(Call call, AdmissionOutcome.Refused refused);
    }

    /** Creates an agent; without {@code admits} it queues everything in the order of arrival by workspace. */
    FakeAgent(Schedule schedule, EndpointId id, FailureDomain failureDomain, boolean admits, Histogram gapMicros) {
        this.schedule = schedule;
        this.id = id;
        this.failureDomain = failureDomain;
        this.admits = admits;
        this.engine = new FakeEngine(schedule, gapMicros, this::finished);
        this.admission = new AdmissionController(
                schedule.clock(), admits ? AdmissionSettings.defaults() : UNBOUNDED, speed(), event -> {});
        schedule.after(REVIEW_MILLIS, this::review);
    }

    EndpointId id() {
        return id;
    }

    FailureDomain failureDomain() {
        return failureDomain;
    }

    void setSlowFactor(double factor) {
        engine.setSlowFactor(factor);
        act(admission.speedChanged(speed()));
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
        calls.put(call.id, new Waiting(call, listener));
        long deadlineMillis = admits ? (long) call.arrivedMillis + call.shape.deadlineMillis() : NO_DEADLINE_MILLIS;
        act(admission.offer(new AdmissionRequest(
                call.id,
                call.workspace,
                1,
                call.shape.priority(),
                call.shape.promptTokens(),
                call.shape.maxAnswerTokens(),
                deadlineMillis)));
    }

    private void finished(Call call) {
        Waiting waiting = calls.remove(call.id);
        if (waiting != null) {
            waiting.listener().finished(call);
        }
        act(admission.finished(call.id, call.answerTokens));
    }

    private void review() {
        act(admission.speedChanged(speed()));
        schedule.after(REVIEW_MILLIS, this::review);
    }

    private void act(List<AdmissionOutcome> outcomes) {
        for (AdmissionOutcome outcome : outcomes) {
            if (outcome instanceof AdmissionOutcome.Started) {
                Waiting waiting = calls.get(outcome.request().key());
                if (waiting != null) {
                    engine.start(waiting.call());
                }
            } else if (outcome instanceof AdmissionOutcome.Refused refused) {
                Waiting waiting = calls.remove(outcome.request().key());
                if (waiting != null) {
                    waiting.listener().refused(waiting.call(), refused);
                }
            }
        }
    }

    private EngineSpeed speed() {
        return new EngineSpeed(FakeEngine.CAPACITY_REQUESTS, engine.stepMillis(), engine.prefillTokensPerSecond());
    }
}
