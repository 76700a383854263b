package org.jasminehub.core.document;

import org.jasminehub.core.internal.Checks;

/**
 * How often a route's requests may be tried again.
 *
 * @param maxAttempts how often one request may be sent in all, at least 1
 * @param budgetPercent how many retries are allowed per hundred first attempts, 0 to 100
 */
public record RetryRule(int maxAttempts, int budgetPercent) {
    private static final int MAX_ATTEMPTS = 10;
    private static final int MAX_PERCENT = 100;

    /** Creates a checked rule. */
    public RetryRule {
        Checks.inRange("maxAttempts", maxAttempts, 1, MAX_ATTEMPTS);
        Checks.inRange("budgetPercent", budgetPercent, 0, MAX_PERCENT);
    }
}
