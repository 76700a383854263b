package org.jasminehub.gateway;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.call.CallDispatcher;
import org.jasminehub.gateway.control.ControlEvent;
import org.jasminehub.gateway.control.ControlEventKind;
import org.jasminehub.gateway.control.DelayedRunner;
import org.jasminehub.gateway.net.CallerServer;

/**
 * Graceful shutdown: keeps serving until no caller has this address cached, then completes open calls within the grace
 * time.
 */
final class StopSequence {
    private static final long POLL_MILLIS = 50;
    /** Added to the TTL of the address list; covers the round trip of a caller that requests the list again. */
    private static final long LIST_EXPIRY_MARGIN_MILLIS = 500;
    /** The process ends this long before the grace time, so that the platform never kills it during an open call. */
    private static final long END_MARGIN_MILLIS = 400;

    private final GatewaySettings settings;
    private final Clock clock;
    private final DelayedRunner timer;
    private final EventSink events;
    private final CountDownLatch done = new CountDownLatch(1);
    private final long startedMillis;

    StopSequence(GatewaySettings settings, Clock clock, DelayedRunner timer, EventSink events) {
        this.settings = settings;
        this.clock = clock;
        this.timer = timer;
        this.events = events;
        this.startedMillis = clock.monotonicMillis();
    }

    void run(CallerServer callers, CallDispatcher calls) {
        events.emit(new ControlEvent(
                ControlEventKind.PROCESS_STOPPING, settings.instance(), calls.openCalls() + " open calls", 0));
        poll(callers, calls);
    }

    private void poll(CallerServer callers, CallDispatcher calls) {
        long elapsedMillis = clock.monotonicMillis() - startedMillis;
        boolean isListExpired = elapsedMillis >= DirectoryHandler.TTL_MILLIS + LIST_EXPIRY_MARGIN_MILLIS;
        boolean isGraceOver =
                elapsedMillis >= settings.graceSeconds() * TimeUnit.SECONDS.toMillis(1) - END_MARGIN_MILLIS;
        if (isListExpired) {
            callers.closeIdle();
        }
        if (isGraceOver || (isListExpired && calls.openCalls() == 0 && callers.connections() == 0)) {
            events.emit(new ControlEvent(
                    ControlEventKind.PROCESS_STOPPED,
                    settings.instance(),
                    calls.openCalls() + " calls still open after " + elapsedMillis + " ms",
                    0));
            calls.cutOpenCalls();
            finish();
            return;
        }
        timer.runAfter(POLL_MILLIS, () -> poll(callers, calls));
    }

    void finish() {
        done.countDown();
    }

    void await() {
        try {
            done.await((long) settings.graceSeconds(), TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
