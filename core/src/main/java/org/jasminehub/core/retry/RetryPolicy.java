package org.jasminehub.core.retry;

import java.util.EnumSet;
import java.util.Set;
import org.jasminehub.core.document.RouteKind;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;

/**
 * Decides whether a request is retried after a failed attempt.
 *
 * <p>A request is retried only if it certainly did not run or is idempotent, if enough time is left until its deadline,
 * and if the budgets of its workspace and its service have a retry left. Even if every endpoint fails, n requests cause
 * at most {@code n × (1 + budgetPercent / 100) + reserve} attempts.
 *
 * <pre>{@code
 * policy.recordFirstAttempt(subject);
 * ...
 * if (policy.decide(failedAttempt) == RetryDecision.RETRY_ALLOWED) {
 *     send();
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class RetryPolicy {
    private static final Set<ErrorCode> RETRYABLE = EnumSet.of(
            ErrorCode.OVERLOADED,
            ErrorCode.DEADLINE_UNREACHABLE,
            ErrorCode.ENDPOINT_FAILED,
            ErrorCode.ANSWER_CUT,
            ErrorCode.PROTOCOL_VIOLATION,
            ErrorCode.LEAVING,
            ErrorCode.NOT_READY,
            ErrorCode.DOCUMENT_OUTDATED);

    private final RetryBudgets budgets;

    /** Creates a policy that spends retries from {@code budgets}. */
    public RetryPolicy(RetryBudgets budgets) {
        this.budgets = budgets;
    }

    /** Records the first attempt of a request, which adds to its retry budgets. */
    public void recordFirstAttempt(FailedAttempt.Subject subject) {
        budgets.earn(
                subject.workspace(),
                subject.route().target(),
                subject.route().retry().budgetPercent());
    }

    /** Decides whether to retry; {@link RetryDecision#RETRY_ALLOWED} means that a retry has been spent. */
    public RetryDecision decide(FailedAttempt attempt) {
        if (attempt.outcome() == Outcome.DONE || !RETRYABLE.contains(attempt.code())) {
            return RetryDecision.NOT_RETRYABLE;
        }
        if (attempt.outcome() == Outcome.UNKNOWN && !isIdempotent(attempt)) {
            return RetryDecision.MAY_HAVE_RUN;
        }
        if (attempt.attempts() >= attempt.subject().route().retry().maxAttempts()) {
            return RetryDecision.ATTEMPTS_EXHAUSTED;
        }
        if (attempt.remainingMillis() <= attempt.estimateMillis()) {
            return RetryDecision.DEADLINE_TOO_CLOSE;
        }
        boolean spent = budgets.trySpend(
                attempt.subject().workspace(), attempt.subject().route().target());
        return spent ? RetryDecision.RETRY_ALLOWED : RetryDecision.BUDGET_EXHAUSTED;
    }

    private static boolean isIdempotent(FailedAttempt attempt) {
        return attempt.subject().route().kind() != RouteKind.NON_IDEMPOTENT;
    }
}
