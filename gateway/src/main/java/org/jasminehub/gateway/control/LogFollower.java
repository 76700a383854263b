package org.jasminehub.gateway.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jasminehub.core.balance.StateAge;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.hosted.HistoryGoneException;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.jasminehub.platform.hosted.LogSlice;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jspecify.annotations.Nullable;

/**
 * Reads a keyed log from its newest records on, and starts anew where the log forgot what was not read yet.
 *
 * <p>Used on the process's event loop only.
 */
final class LogFollower {
    /** The pause after a failed read, doubled up to the longest one, so that an outage costs few calls. */
    private static final long MIN_RETRY_MILLIS = 150;

    private static final long MAX_RETRY_MILLIS = 600;

    /** What a log says. */
    interface Listener {
        /** Takes the newest record of every key; keys that are not in it have none. */
        void onSnapshot(List<KeyedRecord> records);

        /** Takes records that were added, oldest first. */
        void onRecords(List<KeyedRecord> records);
    }

    private final StoreClient store;
    private final StoreTopic topic;
    private final FollowerSettings settings;
    private final DelayedRunner timer;
    private final Clock clock;
    private final EventSink events;
    private final Listener listener;
    private final StateAge age;
    private long nextOffset = -1;
    private long retryMillis = MIN_RETRY_MILLIS;
    private boolean isLost;
    private boolean isStopped;
    private long lostSinceMillis = Long.MIN_VALUE;
    private long regainedMillis = Long.MIN_VALUE;
    private int round;

    LogFollower(
            StoreClient store,
            StoreTopic topic,
            FollowerSettings settings,
            DelayedRunner timer,
            Clock clock,
            EventSink events,
            Listener listener) {
        this.store = store;
        this.topic = topic;
        this.settings = settings;
        this.timer = timer;
        this.clock = clock;
        this.events = events;
        this.listener = listener;
        this.age = new StateAge(clock);
    }

    /** Starts to read, or reads at once where the present read may be stale. */
    void restart() {
        round++;
        read(round);
    }

    void stop() {
        isStopped = true;
        round++;
    }

    StateAge age() {
        return age;
    }

    boolean isLost() {
        return isLost;
    }

    /** Returns how long ago the store came back after an outage, {@link Long#MAX_VALUE} where it never went. */
    long millisSinceRegained() {
        return regainedMillis == Long.MIN_VALUE ? Long.MAX_VALUE : clock.monotonicMillis() - regainedMillis;
    }

    private void read(int current) {
        if (isStopped || current != round) {
            return;
        }
        StateAge.ClockReading asked = age.now();
        boolean isSnapshot = nextOffset < 0;
        CompletableFuture<LogSlice> reading = isSnapshot
                ? store.readNewest(topic, settings.timeoutMillis())
                : store.readLog(topic, nextOffset, settings.waitMillis(), settings.timeoutMillis());
        reading.whenComplete((slice, failure) -> {
            if (current != round) {
                return;
            }
            if (failure == null) {
                onSlice(current, asked, isSnapshot, slice);
            } else {
                onFailure(current, failure);
            }
        });
    }

    private void onSlice(int current, StateAge.ClockReading asked, boolean isSnapshot, LogSlice slice) {
        if (isLost) {
            isLost = false;
            regainedMillis = clock.monotonicMillis();
            events.emit(new ControlEvent(
                    ControlEventKind.STORE_REGAINED,
                    topic.name(),
                    "lost for " + (regainedMillis - lostSinceMillis) + " ms",
                    0));
        }
        retryMillis = MIN_RETRY_MILLIS;
        nextOffset = slice.nextOffset();
        if (isSnapshot) {
            listener.onSnapshot(slice.records());
        } else if (!slice.records().isEmpty()) {
            listener.onRecords(slice.records());
        }
        age.confirm(asOf(asked, isSnapshot, slice));
        timer.runAfter(settings.pauseMillis(), () -> read(current));
    }

    /** A read that waited in vain saw the log as it was at the end of its wait. */
    private StateAge.ClockReading asOf(StateAge.ClockReading asked, boolean isSnapshot, LogSlice slice) {
        boolean hasWaited = !isSnapshot
                && slice.records().isEmpty()
                && clock.monotonicMillis() - asked.monotonicMillis() >= settings.waitMillis();
        return hasWaited
                ? new StateAge.ClockReading(
                        asked.monotonicMillis() + settings.waitMillis(), asked.wallMillis() + settings.waitMillis())
                : asked;
    }

    private void onFailure(int current, Throwable thrown) {
        Throwable cause =
                thrown instanceof CompletionException && thrown.getCause() != null ? thrown.getCause() : thrown;
        if (cause instanceof HistoryGoneException) {
            nextOffset = -1;
            read(current);
            return;
        }
        if (!isLost) {
            isLost = true;
            lostSinceMillis = clock.monotonicMillis();
            events.emit(new ControlEvent(ControlEventKind.STORE_LOST, topic.name(), describe(cause), age.millis()));
        }
        long pauseMillis = retryMillis;
        retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
        timer.runAfter(pauseMillis, () -> read(current));
    }

    private static String describe(@Nullable Throwable cause) {
        return String.valueOf(cause == null ? null : cause.getMessage());
    }
}
