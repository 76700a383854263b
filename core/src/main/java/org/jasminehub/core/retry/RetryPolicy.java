package org.jasminehub.core.retry;

import java.util.EnumSet;
import java.util.Set;
import org.jasminehub.core.document.RouteKind;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;

/**
 * Decides whether a request is sent again after a failed attempt.
 *
 * <p>Only work that certainly did not run, or that is idempotent, is repeated; never past the deadline; and only while
 * its workspace and its service have a retry left. Where every endpoint fails, n requests cause at most
 * {@code n × (1 + budgetPercent / 100) + reserve} attempts.
 *
 * <pre>{@code
 * policy.firstAttempt(subject);
 * ...
 * if (policy.decide(failedAttempt) == RetryDecision.AGAIN) {
 *     send();
 * }
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class RetryPolicy {
    private static final Set<ErrorCode> WORTH_REPEATING = EnumSet.of(
            ErrorCode.OVERLOADED,
            ErrorCode.DEADLINE_UNREACHABLE,
            ErrorCode.ENDPOINT_FAILED,
            ErrorCode.ANSWER_CUT,
            ErrorCode.PROTOCOL_VIOLATION,
            ErrorCode.LEAVING,
            ErrorCode.NOT_READY,
            ErrorCode.DOCUMENT_OUTDATED);

    private final RetryBudgets budgets;

    /** Creates a policy that spends from {@code budgets}. */
    public RetryPolicy(RetryBudgets budgets) {
        this.budgets = budgets;
    }

    /** Notes the first attempt of a request. */
    public void firstAttempt(FailedAttempt.Subject subject) {
        budgets.earn(
                subject.workspace(),
                subject.route().target(),
                subject.route().retry().budgetPercent());
    }

    /** Decides after a failed attempt; {@link RetryDecision#AGAIN} has spent a retry. */
    public RetryDecision decide(FailedAttempt attempt) {
        if (attempt.outcome() == Outcome.DONE || !WORTH_REPEATING.contains(attempt.code())) {
            return RetryDecision.POINTLESS;
        }
        if (attempt.outcome() == Outcome.UNKNOWN && !isIdempotent(attempt)) {
            return RetryDecision.MAY_HAVE_RUN;
        }
        if (attempt.attempts() >= attempt.subject().route().retry().maxAttempts()) {
            return RetryDecision.ATTEMPTS_USED;
        }
        if (attempt.remainingMillis() <= attempt.estimateMillis()) {
            return RetryDecision.DEADLINE;
        }
        boolean spent = budgets.trySpend(
                attempt.subject().workspace(), attempt.subject().route().target());
        return spent ? RetryDecision.AGAIN : RetryDecision.BUDGET_USED;
    }

    private static boolean isIdempotent(FailedAttempt attempt) {
        return attempt.subject().route().kind() != RouteKind.NON_IDEMPOTENT;
    }
}
