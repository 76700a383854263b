package org.jasminehub.core.limit;

/**
 * A token bucket with a burst capacity of one second's worth of units.
 *
 * <p>A request larger than the capacity passes when the bucket is full and makes its balance negative, so that the rate
 * is still met over time.
 *
 * <p>Not thread-safe.
 */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1000;

    private double ratePerSecond;
    private double available;
    private long refilledMillis;

    TokenBucket(double ratePerSecond, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.available = ratePerSecond;
        this.refilledMillis = nowMillis;
    }

    void setRate(double newRatePerSecond, long nowMillis) {
        refill(nowMillis);
        ratePerSecond = newRatePerSecond;
        available = Math.min(available, ratePerSecond);
    }

    /** Returns the time until {@code units} may pass, 0 if they may pass now. */
    long waitMillis(double units, long nowMillis) {
        refill(nowMillis);
        double missing = Math.min(units, ratePerSecond) - available;
        if (missing <= 0 && ratePerSecond > 0) {
            return 0;
        }
        double rate = Math.max(ratePerSecond, Double.MIN_NORMAL);
        return (long) Math.min(Integer.MAX_VALUE, Math.max(1, Math.ceil(missing * MILLIS_PER_SECOND / rate)));
    }

    void take(double units) {
        available -= units;
    }

    void refund(double units) {
        available = Math.min(ratePerSecond, available + units);
    }

    private void refill(long nowMillis) {
        double refilled = (nowMillis - refilledMillis) / MILLIS_PER_SECOND * ratePerSecond;
        available = Math.min(ratePerSecond, available + refilled);
        refilledMillis = nowMillis;
    }
}
