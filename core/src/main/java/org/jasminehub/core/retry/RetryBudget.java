package org.jasminehub.core.retry;

import org.jasminehub.core.internal.Checks;

/**
 * A retry budget. Each first attempt earns a fraction of a retry, and each retry spends one.
 *
 * <p>Over n first attempts at most {@code n × percent / 100 + reserve} retries are allowed.
 *
 * <p>Not thread-safe.
 */
final class RetryBudget {
    /** One retry, in the unit of the balance. */
    private static final int ONE_RETRY = 100;

    private final long maxBalance;
    /** Retries left, in hundredths of a retry, so that sums are exact. */
    private long balance;

    RetryBudget(int reserve) {
        this.maxBalance = Checks.positive("reserve", reserve) * ONE_RETRY;
        this.balance = maxBalance;
    }

    void earn(int percent) {
        balance = Math.min(maxBalance, balance + percent);
    }

    boolean hasRetry() {
        return balance >= ONE_RETRY;
    }

    void spend() {
        balance -= ONE_RETRY;
    }
}
