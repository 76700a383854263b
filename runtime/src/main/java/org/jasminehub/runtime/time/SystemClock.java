package org.jasminehub.runtime.time;

import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.time.Clock;

/** A clock that reads the system's monotonic and wall-clock time. Thread-safe. */
public final class SystemClock implements Clock {
    private final InstantSource wall = InstantSource.system();

    @Override
    public long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long wallMillis() {
        return wall.millis();
    }
}
