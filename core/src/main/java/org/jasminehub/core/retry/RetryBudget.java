package org.jasminehub.core.retry;

import org.jasminehub.core.internal.Checks;

/**
 * Earns a part of a retry with each first attempt, and spends a whole one with each retry.
 *
 * <p>Over n first attempts at most {@code n × percent / 100 + reserve} retries are allowed. Not safe for use by several
 * threads.
 */
final class RetryBudget {
    private static final int FULL_PERCENT = 100;

    private final long maxBalance;
    /** In hundredths of a retry, so that sums are exact. */
    private long balance;

    RetryBudget(int reserve) {
        this.maxBalance = Checks.positive("reserve", reserve) * FULL_PERCENT;
        this.balance = maxBalance;
    }

    void earn(int percent) {
        balance = Math.min(maxBalance, balance + percent);
    }

    boolean hasRetry() {
        return balance >= FULL_PERCENT;
    }

    void spend() {
        balance -= FULL_PERCENT;
    }
}
