package org.jasminehub.gateway.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jasminehub.core.balance.StateAge;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.hosted.HistoryTruncatedException;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.jasminehub.platform.hosted.LogSlice;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jspecify.annotations.Nullable;

/**
 * Follows a keyed log: reads the newest record of every key, then all later records. Starts again with the newest
 * records if the log no longer holds the next offset.
 *
 * <p>Must be used on the process's event loop only.
 */
final class LogFollower {
    /** First delay after a failed read; doubles up to the maximum, so that an outage causes few calls. */
    private static final long MIN_RETRY_MILLIS = 150;

    private static final long MAX_RETRY_MILLIS = 600;

    /** Receives the contents of the log. */
    interface Listener {
        /** Called with the newest record of every key; keys that are missing have no record. */
        void onSnapshot(List<KeyedRecord> records);

        /** Called with records that were appended, oldest first. */
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
    private long retryDelayMillis = MIN_RETRY_MILLIS;
    private boolean isStoreLost;
    private boolean isStopped;
    private long lostAtMillis = Long.MIN_VALUE;
    private long regainedAtMillis = Long.MIN_VALUE;
    private int generation;

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

    /** Starts to read, or abandons the current read and reads again at once. */
    void restart() {
        generation++;
        read(generation);
    }

    void stop() {
        isStopped = true;
        generation++;
    }

    StateAge age() {
        return age;
    }

    boolean isStoreLost() {
        return isStoreLost;
    }

    /** Returns the time since the store recovered from an outage, or {@link Long#MAX_VALUE} if there was none. */
    long millisSinceRegained() {
        return regainedAtMillis == Long.MIN_VALUE ? Long.MAX_VALUE : clock.monotonicMillis() - regainedAtMillis;
    }

    private void read(int readGeneration) {
        if (isStopped || readGeneration != generation) {
            return;
        }
        StateAge.ClockReading requestedAt = age.now();
        boolean isSnapshot = nextOffset < 0;
        CompletableFuture<LogSlice> pendingRead = isSnapshot
                ? store.readNewest(topic, settings.timeoutMillis())
                : store.readLog(topic, nextOffset, settings.waitMillis(), settings.timeoutMillis());
        pendingRead.whenComplete((slice, failure) -> {
            if (readGeneration != generation) {
                return;
            }
            if (failure == null) {
                onSlice(readGeneration, requestedAt, isSnapshot, slice);
            } else {
                onFailure(readGeneration, failure);
            }
        });
    }

    private void onSlice(int readGeneration, StateAge.ClockReading requestedAt, boolean isSnapshot, LogSlice slice) {
        if (isStoreLost) {
            isStoreLost = false;
            regainedAtMillis = clock.monotonicMillis();
            events.emit(new ControlEvent(
                    ControlEventKind.STORE_REGAINED,
                    topic.name(),
                    "unavailable for " + (regainedAtMillis - lostAtMillis) + " ms",
                    0));
        }
        retryDelayMillis = MIN_RETRY_MILLIS;
        nextOffset = slice.nextOffset();
        if (isSnapshot) {
            listener.onSnapshot(slice.records());
        } else if (!slice.records().isEmpty()) {
            listener.onRecords(slice.records());
        }
        age.confirm(confirmedAt(requestedAt, isSnapshot, slice));
        timer.runAfter(settings.pauseMillis(), () -> read(readGeneration));
    }

    /**
     * Returns the time as of which the slice is current. A read that waited in full without a record saw the log as it
     * was at the end of the wait.
     */
    private StateAge.ClockReading confirmedAt(StateAge.ClockReading requestedAt, boolean isSnapshot, LogSlice slice) {
        boolean isFullWait = !isSnapshot
                && slice.records().isEmpty()
                && clock.monotonicMillis() - requestedAt.monotonicMillis() >= settings.waitMillis();
        return isFullWait
                ? new StateAge.ClockReading(
                        requestedAt.monotonicMillis() + settings.waitMillis(),
                        requestedAt.wallMillis() + settings.waitMillis())
                : requestedAt;
    }

    private void onFailure(int readGeneration, Throwable thrown) {
        Throwable cause =
                thrown instanceof CompletionException && thrown.getCause() != null ? thrown.getCause() : thrown;
        if (cause instanceof HistoryTruncatedException) {
            nextOffset = -1;
            read(readGeneration);
            return;
        }
        if (!isStoreLost) {
            isStoreLost = true;
            lostAtMillis = clock.monotonicMillis();
            events.emit(new ControlEvent(ControlEventKind.STORE_LOST, topic.name(), describe(cause), age.millis()));
        }
        long pauseMillis = retryDelayMillis;
        retryDelayMillis = Math.min(MAX_RETRY_MILLIS, retryDelayMillis * 2);
        timer.runAfter(pauseMillis, () -> read(readGeneration));
    }

    private static String describe(@Nullable Throwable cause) {
        return String.valueOf(cause == null ? null : cause.getMessage());
    }
}
