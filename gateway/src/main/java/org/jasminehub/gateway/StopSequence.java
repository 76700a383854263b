package org.jasminehub.gateway;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.drain.DrainPhase;
import org.jasminehub.core.drain.EntryDrain;
import org.jasminehub.core.drain.EntryDrainPolicy;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.call.CallAdmission;
import org.jasminehub.gateway.call.CallDispatcher;
import org.jasminehub.gateway.control.ControlEvent;
import org.jasminehub.gateway.control.ControlEventKind;
import org.jasminehub.gateway.control.DelayedRunner;
import org.jasminehub.gateway.net.CallerServer;
import org.jspecify.annotations.Nullable;

/**
 * Graceful shutdown: keeps serving until no caller has this address cached, then completes open calls within the grace
 * time.
 */
final class StopSequence implements CallAdmission {
    private static final long POLL_MILLIS = 50;

    /** Covers the round trip of a caller that requests the address list again. */
    private static final long LIST_LAG_MILLIS = 500;

    /** The process ends this long before the grace time, so that the platform never kills it during an open call. */
    private static final long MIN_END_MARGIN_MILLIS = 400;

    private static final long MAX_END_MARGIN_MILLIS = 1_000;
    private static final double END_MARGIN_SHARE = 0.1;

    /** Left for the log when the event loop has not completed the stop in time. */
    private static final long LOG_MILLIS = 320;

    private final GatewaySettings settings;
    private final EntryDrainPolicy policy;
    private final Clock clock;
    private final DelayedRunner timer;
    private final EventSink events;
    private final CountDownLatch done = new CountDownLatch(1);
    private final long graceMillis;
    private volatile @Nullable EntryDrain drain;
    private long startedMillis;

    StopSequence(GatewaySettings settings, Clock clock, DelayedRunner timer, EventSink events) {
        this.settings = settings;
        this.graceMillis = (long) (settings.graceSeconds() * TimeUnit.SECONDS.toMillis(1));
        this.policy = policy(graceMillis);
        this.clock = clock;
        this.timer = timer;
        this.events = events;
    }

    private static EntryDrainPolicy policy(long graceMillis) {
        long marginMillis =
                (long) Math.max(MIN_END_MARGIN_MILLIS, Math.min(MAX_END_MARGIN_MILLIS, END_MARGIN_SHARE * graceMillis));
        long maxDrainMillis = Math.max(1, graceMillis - marginMillis);
        // A short grace time must leave time for the calls that are open when new ones are no longer accepted.
        long listLagMillis = Math.min(LIST_LAG_MILLIS, Math.min(graceMillis / 16, maxDrainMillis / 4));
        long addressTtlMillis = Math.min(DirectoryHandler.TTL_MILLIS, Math.min(graceMillis / 4, maxDrainMillis / 2));
        return new EntryDrainPolicy(listLagMillis, addressTtlMillis, maxDrainMillis);
    }

    /**
     * Starts the sequence; the instance must not be listed for callers any more.
     *
     * @param signalledMillis when the process was asked to stop, by the monotonic clock
     */
    void run(CallerServer callers, CallDispatcher calls, long signalledMillis) {
        startedMillis = signalledMillis;
        events.emit(new ControlEvent(
                ControlEventKind.PROCESS_STOPPING,
                settings.instance(),
                calls.openCalls() + " open calls",
                elapsedMillis()));
        EntryDrain started =
                new EntryDrain(settings.instance(), policy, callers::connections, signalledMillis, clock, events);
        drain = started;
        poll(started, callers, calls);
    }

    @Override
    public boolean accepts(long limitMillis) {
        EntryDrain started = drain;
        return started == null || (!started.isStopped() && policy.accepts(elapsedMillis(), limitMillis));
    }

    private void poll(EntryDrain started, CallerServer callers, CallDispatcher calls) {
        DrainPhase phase = started.advance();
        if (phase != DrainPhase.ANNOUNCED) {
            callers.closeIdle();
        }
        if (phase == DrainPhase.STOPPED) {
            events.emit(new ControlEvent(
                    ControlEventKind.PROCESS_STOPPED,
                    settings.instance(),
                    calls.openCalls() + " calls still open, " + callers.unansweredConnections()
                            + " connections without their whole response",
                    elapsedMillis()));
            callers.stopListening();
            calls.endOpenCalls();
            finish();
            return;
        }
        timer.runAfter(POLL_MILLIS, () -> poll(started, callers, calls));
    }

    private long elapsedMillis() {
        return clock.monotonicMillis() - startedMillis;
    }

    void finish() {
        done.countDown();
    }

    /**
     * Blocks until the sequence is complete or the grace time is nearly over.
     *
     * @param signalledMillis when the process was asked to stop, by the monotonic clock
     */
    void await(long signalledMillis) {
        long limitMillis = signalledMillis + graceMillis - Math.min(LOG_MILLIS, graceMillis / 2);
        try {
            if (!done.await(limitMillis - clock.monotonicMillis(), TimeUnit.MILLISECONDS)) {
                events.emit(new ControlEvent(
                        ControlEventKind.PROCESS_STOP_OVERDUE,
                        settings.instance(),
                        drain == null ? "not begun" : "not complete",
                        clock.monotonicMillis() - signalledMillis));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
