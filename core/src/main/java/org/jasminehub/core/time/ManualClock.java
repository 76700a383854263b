package org.jasminehub.core.time;

import java.util.concurrent.atomic.AtomicLong;
import org.jasminehub.core.internal.Checks;

/**
 * A clock that advances only when {@link #advanceMillis} is called.
 *
 * <pre>{@code
 * ManualClock clock = new ManualClock(0);
 * clock.advanceMillis(250);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class ManualClock implements Clock {
    private final AtomicLong nowMillis;

    /** Creates a clock whose monotonic and wall-clock time are {@code startMillis}. */
    public ManualClock(long startMillis) {
        this.nowMillis = new AtomicLong(startMillis);
    }

    /** Advances the clock by {@code millis}, which must not be negative. */
    public void advanceMillis(long millis) {
        Checks.notNegative("millis", millis);
        nowMillis.addAndGet(millis);
    }

    @Override
    public long monotonicMillis() {
        return nowMillis.get();
    }

    @Override
    public long wallMillis() {
        return nowMillis.get();
    }
}
