package org.jasminehub.core.ratelimit;

/** The permits that an issuer may issue for one endpoint; empty at first. Not thread-safe. */
final class PermitBucket {
    /** Bounds the permits that accumulate while nobody asks for one. */
    private static final double BURST_SECONDS = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;

    private double permitsPerSecond;
    private double available;
    private long refilledMillis;

    PermitBucket(long nowMillis) {
        this.refilledMillis = nowMillis;
    }

    /** Adds the permits that became available since the last call, and sets the rate from now on. */
    void refill(double ratePerSecond, long nowMillis) {
        available += (nowMillis - refilledMillis) / MILLIS_PER_SECOND * permitsPerSecond;
        refilledMillis = nowMillis;
        permitsPerSecond = ratePerSecond;
        limitToCapacity();
    }

    /** Takes one permit; returns false if none is available. */
    boolean tryTake() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }

    /** Adds a permit that was issued but not used. */
    void giveBack() {
        available++;
        limitToCapacity();
    }

    /** Returns the time until another permit is available after {@code ahead} others. */
    long waitMillis(int ahead) {
        double missing = ahead + 1 - available;
        if (missing <= 0) {
            return 0;
        }
        return (long) Math.min(Integer.MAX_VALUE, Math.ceil(missing * MILLIS_PER_SECOND / permitsPerSecond));
    }

    private void limitToCapacity() {
        available = Math.min(available, Math.max(1, permitsPerSecond * BURST_SECONDS));
    }
}
