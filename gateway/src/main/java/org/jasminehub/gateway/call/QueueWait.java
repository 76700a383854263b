package org.jasminehub.gateway.call;

import java.util.concurrent.ScheduledFuture;
import org.jasminehub.core.time.Clock;
import org.jspecify.annotations.Nullable;

/** The time that a call spends in the queue, possibly several times, and the timer that ends the current wait. */
final class QueueWait {
    private static final long NOT_WAITING = -1;

    private final Clock clock;
    private @Nullable ScheduledFuture<?> timer;
    private long startedMillis = NOT_WAITING;
    private long endMillis;
    private long totalMillis;

    QueueWait(Clock clock) {
        this.clock = clock;
    }

    /** Begins a wait of at most {@code maxMillis}, which {@code timeout} ends. */
    void begin(long maxMillis, ScheduledFuture<?> timeout) {
        startedMillis = clock.monotonicMillis();
        endMillis = startedMillis + maxMillis;
        timer = timeout;
    }

    boolean isRunning() {
        return startedMillis != NOT_WAITING;
    }

    /** Ends the current wait, if there is one. */
    void end() {
        if (startedMillis != NOT_WAITING) {
            totalMillis += clock.monotonicMillis() - startedMillis;
            startedMillis = NOT_WAITING;
        }
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    /** Returns how much longer the current wait may last. */
    long remainingMillis() {
        return endMillis - clock.monotonicMillis();
    }

    long totalMillis() {
        return totalMillis;
    }
}
