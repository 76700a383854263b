package org.jasminehub.gateway.control;

import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;

/**
 * Detects that the process was suspended or that the wall clock was stepped, by a change of the difference between the
 * wall clock and the monotonic clock.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class SuspensionDetector {
    /** A larger change of the difference between both clocks indicates a suspension or a clock step. */
    private static final long THRESHOLD_MILLIS = 150;

    private final String instance;
    private final Clock clock;
    private final EventSink events;
    private final Runnable onDetected;
    private long differenceMillis;

    /**
     * Creates a detector that compares the clocks for the first time now.
     *
     * @param onDetected runs after each suspension or clock step
     */
    public SuspensionDetector(String instance, Clock clock, EventSink events, Runnable onDetected) {
        this.instance = instance;
        this.clock = clock;
        this.events = events;
        this.onDetected = onDetected;
        this.differenceMillis = clock.wallMillis() - clock.monotonicMillis();
    }

    /** Compares the clocks. */
    public void check() {
        long nowDifferenceMillis = clock.wallMillis() - clock.monotonicMillis();
        long changeMillis = nowDifferenceMillis - differenceMillis;
        differenceMillis = nowDifferenceMillis;
        if (Math.abs(changeMillis) > THRESHOLD_MILLIS) {
            events.emit(new ControlEvent(
                    ControlEventKind.SUSPENSION_NOTICED,
                    instance,
                    "wall clock and monotonic clock diverged by " + changeMillis + " ms",
                    0));
            onDetected.run();
        }
    }
}
