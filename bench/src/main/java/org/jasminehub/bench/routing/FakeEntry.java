package org.jasminehub.bench.routing;

import java.util.List;
import java.util.Optional;
import org.jasminehub.core.admission.AdmissionOutcome;
import org.jasminehub.core.document.RetryRule;
import org.jasminehub.core.document.RouteKind;
import org.jasminehub.core.document.RouteRule;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.membership.Target;
import org.jasminehub.core.retry.FailedAttempt;
import org.jasminehub.core.retry.RetryBudgets;
import org.jasminehub.core.retry.RetryDecision;
import org.jasminehub.core.retry.RetryPolicy;
import org.jasminehub.core.routing.EndpointChoice;
import org.jasminehub.core.routing.EndpointPolicy;
import org.jasminehub.core.routing.EndpointState;
import org.jasminehub.core.routing.EndpointTracker;
import org.jasminehub.core.routing.NetworkDistance;
import org.jasminehub.core.routing.PrefixHints;
import org.jasminehub.core.routing.RoutingRequest;
import org.jasminehub.core.routing.WorkCost;

/** An entry instance that combines the real endpoint policy, tracker, prefix hints and retry policy with fake agents. */
final class FakeEntry {
    private static final double HINT_HALF_LIFE_MILLIS = 30_000;
    private static final int MAX_HINTS = 512;
    private static final int RETRY_RESERVE = 10;
    private static final RetryRule RETRY = new RetryRule(3, 10);

    private final EventScheduler scheduler;
    private final FailureDomain failureDomain;
    private final EndpointPolicy policy;
    private final List<FakeAgent> agents;
    private final EndpointTracker tracker;
    private final PrefixHints hints;
    private final NetworkDistance distance = NetworkDistance.uniform(Deployment.CROSS_DOMAIN_DELAY_MILLIS);
    private final RetryPolicy retries = new RetryPolicy(new RetryBudgets(RETRY_RESERVE, 100));

    FakeEntry(EventScheduler scheduler, FailureDomain failureDomain, EndpointPolicy policy, List<FakeAgent> agents) {
        this.scheduler = scheduler;
        this.failureDomain = failureDomain;
        this.policy = policy;
        this.agents = agents;
        this.tracker = new EndpointTracker(scheduler.clock());
        this.hints = new PrefixHints(scheduler.clock(), HINT_HALF_LIFE_MILLIS, MAX_HINTS);
    }

    EndpointTracker tracker() {
        return tracker;
    }

    void accept(Call call) {
        retries.recordFirstAttempt(subject(call));
        send(call);
    }

    private void send(Call call) {
        List<EndpointState> states = agents.stream()
                .filter(agent -> !call.tried.contains(agent.id()))
                .map(agent ->
                        tracker.state(agent.id(), agent.failureDomain(), hints.expectedTokens(agent.id(), call.prefix)))
                .toList();
        RoutingRequest request = new RoutingRequest(
                failureDomain,
                call.shape.promptTokens(),
                call.shape.maxAnswerTokens(),
                call.shape.priority(),
                remainingMillis(call));
        Optional<EndpointChoice> choice = policy.choose(request, states);
        if (choice.isEmpty()) {
            return;
        }
        FakeAgent agent = agents.stream()
                .filter(candidate -> candidate.id().equals(choice.get().endpoint()))
                .findFirst()
                .orElseThrow();
        call.attempts++;
        call.tried.add(agent.id());
        call.estimateMillis = choice.get().estimateMillis();
        call.sentMillis = scheduler.nowMillis();
        hints.recordPrompt(agent.id(), call.prefix);
        long workTokens = WorkCost.tokens(call.shape.promptTokens(), call.shape.maxAnswerTokens() / 2);
        tracker.recordSent(agent.id(), workTokens);
        double oneWayDelayMillis = distance.oneWayMillis(failureDomain, agent.failureDomain());
        scheduler.schedule(oneWayDelayMillis, () -> agent.offer(call, new AttemptListener(agent, oneWayDelayMillis)));
    }

    private final class AttemptListener implements FakeAgent.Listener {
        private final FakeAgent agent;
        private final double oneWayDelayMillis;

        private AttemptListener(FakeAgent agent, double oneWayDelayMillis) {
            this.agent = agent;
            this.oneWayDelayMillis = oneWayDelayMillis;
        }

        @Override
        public void onFinished(Call call) {
            call.endMillis = scheduler.nowMillis() + oneWayDelayMillis;
            double observedMillis = call.firstTokenMillis + oneWayDelayMillis - call.sentMillis;
            scheduler.schedule(oneWayDelayMillis, () -> {
                tracker.recordFinished(agent.id());
                tracker.recordFirstToken(agent.id(), call.estimateMillis, observedMillis);
                hints.recordHit(agent.id(), call.prefix, call.shape.prefixTokens(), call.hitTokens);
            });
        }

        @Override
        public void onRefused(Call call, AdmissionOutcome.Refused refused) {
            scheduler.schedule(oneWayDelayMillis, () -> {
                tracker.recordFinished(agent.id());
                RetryDecision decision = retries.decide(new FailedAttempt(
                        subject(call), call.attempts, refused.code(), Outcome.NOT_RUN, remainingMillis(call), 0));
                if (decision == RetryDecision.RETRY_ALLOWED) {
                    send(call);
                }
            });
        }
    }

    private long remainingMillis(Call call) {
        return (long) (call.arrivedMillis + call.shape.deadlineMillis() - scheduler.nowMillis());
    }

    private static FailedAttempt.Subject subject(Call call) {
        RequestShape shape = call.shape;
        RouteRule route = new RouteRule(
                shape.priority().name(),
                Target.model("text"),
                RouteKind.STREAM,
                List.of("POST"),
                "/",
                shape.priority(),
                (int) shape.deadlineMillis(),
                (int) shape.deadlineMillis(),
                RETRY);
        return new FailedAttempt.Subject(call.workspace, route);
    }
}
