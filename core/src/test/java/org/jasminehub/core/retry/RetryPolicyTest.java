package org.jasminehub.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.jasminehub.core.document.Priority;
import org.jasminehub.core.document.RetryRule;
import org.jasminehub.core.document.RouteKind;
import org.jasminehub.core.document.RouteRule;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.membership.Target;
import org.junit.jupiter.api.Test;

final class RetryPolicyTest {
    private static final int RESERVE = 5;
    private static final int BUDGET_PERCENT = 10;

    private final RetryPolicy policy = new RetryPolicy(new RetryBudgets(RESERVE, 100));

    private static FailedAttempt.Subject subject(String workspace, RouteKind kind) {
        RouteRule route = new RouteRule(
                "draft",
                Target.model("text"),
                kind,
                List.of("POST"),
                "/",
                Priority.URGENT,
                5000,
                500,
                new RetryRule(3, BUDGET_PERCENT));
        return new FailedAttempt.Subject(new WorkspaceId(workspace), route);
    }

    private RetryDecision decide(RouteKind kind, int attempts, ErrorCode code, Outcome outcome, long remainingMillis) {
        return policy.decide(new FailedAttempt(subject("agency", kind), attempts, code, outcome, remainingMillis, 100));
    }

    @Test
    void testOnlyNotRunOrIdempotentRequestsAreRetried() {
        RouteKind nonIdempotent = RouteKind.NON_IDEMPOTENT;
        assertEquals(
                RetryDecision.RETRY_ALLOWED, decide(nonIdempotent, 1, ErrorCode.OVERLOADED, Outcome.NOT_RUN, 5000));
        assertEquals(
                RetryDecision.MAY_HAVE_RUN, decide(nonIdempotent, 1, ErrorCode.ENDPOINT_FAILED, Outcome.UNKNOWN, 5000));
        assertEquals(
                RetryDecision.RETRY_ALLOWED,
                decide(RouteKind.WHOLE, 1, ErrorCode.ENDPOINT_FAILED, Outcome.UNKNOWN, 5000));
    }

    @Test
    void testRequestIsNotRetriedBeyondLimitsOrForFinalErrors() {
        RouteKind whole = RouteKind.WHOLE;
        assertEquals(RetryDecision.DEADLINE_TOO_CLOSE, decide(whole, 1, ErrorCode.OVERLOADED, Outcome.NOT_RUN, 100));
        assertEquals(RetryDecision.ATTEMPTS_EXHAUSTED, decide(whole, 3, ErrorCode.OVERLOADED, Outcome.NOT_RUN, 5000));
        assertEquals(RetryDecision.NOT_RETRYABLE, decide(whole, 1, ErrorCode.LIMIT_EXCEEDED, Outcome.NOT_RUN, 5000));
        assertEquals(RetryDecision.NOT_RETRYABLE, decide(whole, 1, ErrorCode.ENDPOINT_FAILED, Outcome.DONE, 5000));
    }

    @Test
    void testAttemptsStayBelowDocumentedFactorWhenEveryEndpointFails() {
        int requests = 10_000;
        int attempts = 0;
        for (int i = 0; i < requests; i++) {
            FailedAttempt.Subject subject = subject("workspace-" + i % 10, RouteKind.WHOLE);
            policy.recordFirstAttempt(subject);
            int made = 1;
            while (policy.decide(
                            new FailedAttempt(subject, made, ErrorCode.ENDPOINT_FAILED, Outcome.NOT_RUN, 5000, 100))
                    == RetryDecision.RETRY_ALLOWED) {
                made++;
            }
            attempts += made;
        }
        assertTrue(attempts <= requests * (1 + BUDGET_PERCENT / 100.0) + RESERVE, "attempts " + attempts);
    }

    @Test
    void testExhaustedBudgetDoesNotAffectOtherWorkspaces() {
        FailedAttempt.Subject noisy = subject("noisy", RouteKind.WHOLE);
        for (int i = 0; i < 2 * RESERVE; i++) {
            policy.decide(new FailedAttempt(noisy, 1, ErrorCode.OVERLOADED, Outcome.NOT_RUN, 5000, 100));
        }
        for (int i = 0; i < 20; i++) {
            policy.recordFirstAttempt(subject("quiet", RouteKind.WHOLE));
        }
        assertEquals(
                RetryDecision.BUDGET_EXHAUSTED,
                policy.decide(new FailedAttempt(noisy, 1, ErrorCode.OVERLOADED, Outcome.NOT_RUN, 5000, 100)));
        assertEquals(
                RetryDecision.RETRY_ALLOWED,
                policy.decide(new FailedAttempt(
                        subject("quiet", RouteKind.WHOLE), 1, ErrorCode.OVERLOADED, Outcome.NOT_RUN, 5000, 100)));
    }
}
