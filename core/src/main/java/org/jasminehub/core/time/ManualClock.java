package org.jasminehub.core.time;

import java.util.concurrent.atomic.AtomicLong;
import org.jasminehub.core.internal.Checks;

/**
 * A clock that moves only when told to.
 *
 * <pre>{@code
 * ManualClock clock = new ManualClock(0);
 * clock.advanceMillis(250);
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class ManualClock implements Clock {
    private final AtomicLong nowMillis;

    /** Creates a clock that shows {@code startMillis}, both as wall and as monotonic time. */
    public ManualClock(long startMillis) {
        this.nowMillis = new AtomicLong(startMillis);
    }

    /** Moves the clock forward by {@code millis}, which must not be negative. */
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
