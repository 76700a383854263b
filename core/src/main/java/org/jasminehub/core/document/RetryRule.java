package org.jasminehub.core.document;

import org.jasminehub.core.internal.Checks;

/**
 * The limits on retries of the requests of a route.
 *
 * @param maxAttempts the maximum number of attempts per request including the first, at least 1
 * @param budgetPercent the number of retries allowed per hundred first attempts, 0 to 100
 */
public record RetryRule(int maxAttempts, int budgetPercent) {
    private static final int MAX_ATTEMPTS = 10;
    private static final int MAX_PERCENT = 100;

    /** Creates a rule and validates its components. */
    public RetryRule {
        Checks.inRange("maxAttempts", maxAttempts, 1, MAX_ATTEMPTS);
        Checks.inRange("budgetPercent", budgetPercent, 0, MAX_PERCENT);
    }
}
