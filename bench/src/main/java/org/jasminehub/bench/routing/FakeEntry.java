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

/** An entry instance with the real policy, tracker, hints and retries before fake agents. */
final class FakeEntry {
    private static final double HINT_HALF_LIFE_MILLIS = 30_000;
    private static final int MAX_HINTS = 512;
    private static final int RETRY_RESERVE = 10;
    private static final RetryRule RETRY = new RetryRule(3, 10);

    private final Schedule schedule;
    private final FailureDomain failureDomain;
    private final EndpointPolicy policy;
    private final List<FakeAgent> agents;
    private final EndpointTracker tracker;
    private final PrefixHints hints;
    private final NetworkDistance distance = NetworkDistance.uniform(Deployment.ACROSS_DOMAINS_MILLIS);
    private final RetryPolicy retries = new RetryPolicy(new RetryBudgets(RETRY_RESERVE, 100));

    FakeEntry(Schedule schedule, FailureDomain failureDomain, EndpointPolicy policy, List<FakeAgent> agents) {
        this.schedule = schedule;
        this.failureDomain = failureDomain;
        this.policy = policy;
        this.agents = agents;
        this.tracker = new EndpointTracker(schedule.clock());
        this.hints = new PrefixHints(schedule.clock(), HINT_HALF_LIFE_MILLIS, MAX_HINTS);
    }

    EndpointTracker tracker() {
        return tracker;
    }

    void take(Call call) {
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
                .filter(one -> one.id().equals(choice.get().endpoint()))
                .findFirst()
                .orElseThrow();
        call.attempts++;
        call.tried.add(agent.id());
        call.estimateMillis = choice.get().estimateMillis();
        call.sentMillis = schedule.nowMillis();
        hints.recordPrompt(agent.id(), call.prefix);
        long workTokens = WorkCost.tokens(call.shape.promptTokens(), call.shape.maxAnswerTokens() / 2);
        tracker.recordSent(agent.id(), workTokens);
        double wayMillis = distance.oneWayMillis(failureDomain, agent.failureDomain());
        schedule.after(wayMillis, () -> agent.offer(call, new Answers(agent, wayMillis)));
    }

    private final class Answers implements FakeAgent.Listener {
        private final FakeAgent agent;
        private final double wayMillis;

        private Answers(FakeAgent agent, double wayMillis) {
            this.agent = agent;
            this.wayMillis = wayMillis;
        }

        @Override
        public void finished(Call call) {
            call.endMillis = schedule.nowMillis() + wayMillis;
            double observedMillis = call.firstTokenMillis + wayMillis - call.sentMillis;
            schedule.after(wayMillis, () -> {
                tracker.recordFinished(agent.id());
                tracker.recordFirstToken(agent.id(), call.estimateMillis, observedMillis);
                hints.recordHit(agent.id(), call.prefix, call.shape.prefixTokens(), call.hitTokens);
            });
        }

        @Override
        public void refused(Call call, AdmissionOutcome.Refused refused) {
            schedule.after(wayMillis, () -> {
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
        return (long) (call.arrivedMillis + call.shape.deadlineMillis() - schedule.nowMillis());
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
