package org.jasminehub.core.intake;

import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.time.Clock;

/**
 * Bounds the bytes that a process reads only to discard them, so that a client that still sends gets the refusal before
 * its connection is closed.
 *
 * <p>Not thread-safe.
 */
public final class DiscardAllowance {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final long bytesPerSecond;
    private final Clock clock;
    private double availableBytes;
    private long refilledMillis;
    private long refusals;

    /** Creates an allowance of {@code bytesPerSecond}, at most one second's worth of which accumulates. */
    public DiscardAllowance(long bytesPerSecond, Clock clock) {
        Checks.positive("bytesPerSecond", bytesPerSecond);
        this.bytesPerSecond = bytesPerSecond;
        this.clock = clock;
        this.availableBytes = bytesPerSecond;
        this.refilledMillis = clock.monotonicMillis();
    }

    /** Uses up {@code bytes} and returns whether they were available. */
    public boolean tryUse(long bytes) {
        long nowMillis = clock.monotonicMillis();
        double refillBytes = (nowMillis - refilledMillis) / MILLIS_PER_SECOND * bytesPerSecond;
        availableBytes = Math.min(bytesPerSecond, availableBytes + refillBytes);
        refilledMillis = nowMillis;
        if (bytes > availableBytes) {
            refusals++;
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    /** Returns how often the bytes were not available, so that a connection was closed at once. */
    public long refusals() {
        return refusals;
    }
}
