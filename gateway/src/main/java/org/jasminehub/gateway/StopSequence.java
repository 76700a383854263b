package org.jasminehub.gateway;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.drain.DrainPhase;
import org.jasminehub.core.drain.EntryDrain;
import org.jasminehub.core.drain.EntryDrainPolicy;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.call.CallAdmission;
import org.jasminehub.gateway.control.ControlEvent;
import org.jasminehub.gateway.control.ControlEventKind;
import org.jasminehub.gateway.control.DelayedRunner;
import org.jspecify.annotations.Nullable;

/**
 * Graceful shutdown: keeps serving until no caller has this address cached, then completes open calls within the grace
 * time. The process may end once every request that was read has its response, or none can be written any more.
 *
 * <p>All times count from the stop request, not from its handling by the event loop, which may be busy.
 */
final class StopSequence implements CallAdmission {
    private static final long POLL_MILLIS = 50;
    private static final long DELIVERY_POLL_MILLIS = 5;

    /** Covers the round trip of a caller that requests the address list again. */
    private static final long LIST_LAG_MILLIS = 500;

    /** The share of the grace time for which the responses that end the open calls are written. */
    private static final double DELIVERY_SHARE = 1 / 40.0;

    /**
     * The connections are closed this share of the grace time before its end, so that a slow machine can still write
     * its log and is not killed meanwhile.
     */
    private static final double END_MARGIN_SHARE = 0.125;

    private static final long MIN_END_MARGIN_MILLIS = 400;
    private static final long MAX_END_MARGIN_MILLIS = 1_000;

    /** Left for the log when the event loop has not completed the stop in time. */
    private static final long LOG_MILLIS = 320;

    private final GatewaySettings settings;
    private final EntryDrainPolicy policy;
    private final Clock clock;
    private final DelayedRunner timer;
    private final EventSink events;
    private final CountDownLatch done = new CountDownLatch(1);
    private final long graceMillis;
    private final long endMillis;
    private volatile @Nullable EntryDrain drain;
    private long startedMillis;

    StopSequence(GatewaySettings settings, Clock clock, DelayedRunner timer, EventSink events) {
        this.settings = settings;
        this.graceMillis = (long) (settings.graceSeconds() * TimeUnit.SECONDS.toMillis(1));
        long marginMillis =
                (long) Math.max(MIN_END_MARGIN_MILLIS, Math.min(MAX_END_MARGIN_MILLIS, END_MARGIN_SHARE * graceMillis));
        this.endMillis = Math.max(1, graceMillis - marginMillis);
        this.policy = policy(graceMillis, Math.max(1, (long) (endMillis - DELIVERY_SHARE * graceMillis)));
        this.clock = clock;
        this.timer = timer;
        this.events = events;
    }

    private static EntryDrainPolicy policy(long graceMillis, long maxDrainMillis) {
        // A short grace time must leave time for the calls that are open when new ones are no longer accepted.
        long listLagMillis = Math.min(LIST_LAG_MILLIS, Math.min(graceMillis / 16, maxDrainMillis / 4));
        long addressTtlMillis = Math.min(DirectoryHandler.TTL_MILLIS, Math.min(graceMillis / 4, maxDrainMillis / 2));
        return new EntryDrainPolicy(listLagMillis, addressTtlMillis, maxDrainMillis);
    }

    /**
     * Starts the sequence; the instance must not be listed for callers any more.
     *
     * @param requestedMillis when the process was asked to stop, by the monotonic clock
     */
    void run(StopTarget target, long requestedMillis) {
        startedMillis = requestedMillis;
        emit(ControlEventKind.PROCESS_STOPPING, target.openCalls() + " open calls", elapsedMillis());
        EntryDrain started =
                new EntryDrain(settings.instance(), policy, target::connections, requestedMillis, clock, events);
        drain = started;
        poll(started, target);
    }

    @Override
    public boolean accepts(long limitMillis) {
        EntryDrain started = drain;
        return started == null || (!started.isStopped() && policy.accepts(elapsedMillis(), limitMillis));
    }

    private void poll(EntryDrain started, StopTarget target) {
        DrainPhase phase = started.advance();
        if (phase != DrainPhase.ANNOUNCED) {
            runStep(target::closeIdle);
        }
        if (phase == DrainPhase.STOPPED) {
            int openCalls = target.openCalls();
            runStep(target::stopListening);
            runStep(target::endOpenCalls);
            // Later, so that the event loop first reads the requests that have arrived meanwhile.
            long deliveryEndMillis = deliveryEndMillis();
            timer.runAfter(DELIVERY_POLL_MILLIS, () -> deliver(target, openCalls, deliveryEndMillis));
            return;
        }
        timer.runAfter(POLL_MILLIS, () -> poll(started, target));
    }

    /** Returns when delivery ends; later than planned if the event loop is late, but not too late for the log. */
    private long deliveryEndMillis() {
        long deliveryMillis = (long) (DELIVERY_SHARE * graceMillis);
        return Math.max(endMillis, Math.min(elapsedMillis() + deliveryMillis, graceMillis - LOG_MILLIS));
    }

    /** Waits until the last responses have been written; requests that were read behind others get theirs, too. */
    private void deliver(StopTarget target, int openCalls, long deliveryEndMillis) {
        runStep(target::closeAnswered);
        if (target.connections() > 0 && elapsedMillis() < deliveryEndMillis) {
            timer.runAfter(DELIVERY_POLL_MILLIS, () -> deliver(target, openCalls, deliveryEndMillis));
            return;
        }
        emit(
                ControlEventKind.PROCESS_STOPPED,
                openCalls + " calls were still open, " + target.unansweredConnections()
                        + " connections are left without their whole response",
                elapsedMillis());
        // A request that is read after this would be lost with the process.
        runStep(target::closeAll);
        finish();
    }

    /** Runs a step; a failure must not end the stop, which would leave all open requests without an answer. */
    private void runStep(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            emit(ControlEventKind.PROCESS_STOP_STEP_FAILED, String.valueOf(e), elapsedMillis());
        }
    }

    private long elapsedMillis() {
        return clock.monotonicMillis() - startedMillis;
    }

    private void emit(ControlEventKind kind, String detail, long elapsedMillis) {
        events.emit(new ControlEvent(kind, settings.instance(), detail, elapsedMillis));
    }

    private void finish() {
        done.countDown();
    }

    /**
     * Blocks until the sequence is complete or the grace time is nearly over.
     *
     * @param requestedMillis when the process was asked to stop, by the monotonic clock
     */
    void await(long requestedMillis) {
        long limitMillis = requestedMillis + graceMillis - Math.min(LOG_MILLIS, graceMillis / 2);
        try {
            if (!done.await(limitMillis - clock.monotonicMillis(), TimeUnit.MILLISECONDS)) {
                emit(
                        ControlEventKind.PROCESS_STOP_OVERDUE,
                        drain == null ? "the stop has not begun" : "the stop is not complete",
                        clock.monotonicMillis() - requestedMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
