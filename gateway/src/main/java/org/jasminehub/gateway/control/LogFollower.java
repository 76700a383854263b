package org.jasminehub.gateway.control;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jasminehub.core.balance.StateAge;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.era.StoreEra;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.hosted.HistoryTruncatedException;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.jasminehub.platform.hosted.LogSlice;
import org.jasminehub.platform.hosted.OutdatedEraException;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jspecify.annotations.Nullable;

/**
 * Follows a keyed log: reads the newest record of every key, then all later records. Starts again with the newest
 * records if the log no longer holds the next offset or if the store was restored from a copy.
 *
 * <p>Only a read that reaches the end of the log confirms the state: the store limits the size of a response, so newer
 * records may follow. All conclusions from what a log does not show are drawn from such reads.
 *
 * <p>Must be used on the process's event loop only.
 */
final class LogFollower {
    /** First delay after a failed read; doubles up to the maximum, so that an outage causes few calls. */
    private static final long MIN_RETRY_MILLIS = 150;

    private static final long MAX_RETRY_MILLIS = 600;

    /** Stands for the wait of a read of the newest records, which returns at once. */
    private static final long NO_WAIT = -1;

    /** Receives the contents of the log. */
    interface Listener {
        /** Called with the newest record of every key; keys that are missing have no record. */
        void onSnapshot(List<KeyedRecord> records);

        /** Called with records that were appended, oldest first. */
        void onRecords(List<KeyedRecord> records);

        /**
         * Called with each successful read, before its records are passed on.
         *
         * @param isSnapshot whether the read returned the newest record of every key
         * @param asOfMillis the monotonic time as of which the records read so far are complete, empty if the read did
         *     not reach the end of the log
         */
        default void onSlice(LogSlice slice, boolean isSnapshot, OptionalLong asOfMillis) {}

        /**
         * Called after a read that reached the end of the log, when its records have been passed on.
         *
         * @param asOfMillis the monotonic time as of which the records read so far are complete
         */
        default void onEndReached(long asOfMillis) {}

        /** Returns whether the records read so far are at least as new as the state that is in use. */
        default boolean isUpToDate() {
            return true;
        }
    }

    private final StoreClient store;
    private final StoreTopic topic;
    private final FollowerSettings settings;
    private final DelayedRunner timer;
    private final Clock clock;
    private final EventSink events;
    private final EraTracker eras;
    private final Listener listener;
    private final StateAge age;
    private final ReadProgressLog progress;
    private long nextOffset = LogSlice.UNKNOWN_OFFSET;
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
            EraTracker eras,
            Listener listener) {
        this.store = store;
        this.topic = topic;
        this.settings = settings;
        this.timer = timer;
        this.clock = clock;
        this.events = events;
        this.eras = eras;
        this.listener = listener;
        this.age = new StateAge(clock);
        this.progress = new ReadProgressLog(topic.name(), clock, events);
        eras.onRise(this::onEraRisen);
    }

    /** Offsets of the previous era have no meaning in the new one, so everything is read again. */
    private void onEraRisen() {
        if (generation == 0 || isStopped) {
            return;
        }
        events.emit(new ControlEvent(
                ControlEventKind.STORE_RESTORED,
                topic.name(),
                "reads all records again from era "
                        + eras.current().map(StoreEra::number).orElse(0L) + " instead of offset " + nextOffset,
                age.millis()));
        readAllAgain();
    }

    /** Reads the newest record of every key again. */
    void readAllAgain() {
        nextOffset = LogSlice.UNKNOWN_OFFSET;
        restart();
    }

    /** Starts to read, or abandons the current read and reads again at once. */
    void restart() {
        generation++;
        read(generation);
    }

    /** Abandons the current read, and reads once without waiting before the usual reads go on. */
    void readNow() {
        generation++;
        read(generation, 0);
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

    /**
     * Returns the time from the store's recovery from an outage to the monotonic time {@code atMillis}, or
     * {@link Long#MAX_VALUE} if there was no outage.
     */
    long millisSinceRegained(long atMillis) {
        return regainedAtMillis == Long.MIN_VALUE ? Long.MAX_VALUE : atMillis - regainedAtMillis;
    }

    private void read(int readGeneration) {
        if (!isStopped && readGeneration == generation) {
            read(readGeneration, settings.waitMillis().getAsLong());
        }
    }

    private void read(int readGeneration, long waitMillis) {
        if (isStopped) {
            return;
        }
        StateAge.ClockReading requestedAt = age.now();
        boolean isSnapshot = nextOffset == LogSlice.UNKNOWN_OFFSET;
        CompletableFuture<LogSlice> pendingRead = isSnapshot
                ? store.readNewest(topic, settings.timeoutMillis())
                : store.readLog(topic, nextOffset, waitMillis, settings.timeoutMillis());
        pendingRead.whenComplete((slice, failure) -> {
            if (readGeneration != generation) {
                return;
            }
            if (failure == null) {
                onSlice(readGeneration, requestedAt, isSnapshot ? NO_WAIT : waitMillis, slice);
            } else {
                onFailure(readGeneration, failure);
            }
        });
    }

    private void onSlice(int readGeneration, StateAge.ClockReading requestedAt, long waitMillis, LogSlice slice) {
        if (isStoreLost) {
            isStoreLost = false;
            regainedAtMillis = clock.monotonicMillis();
            events.emit(new ControlEvent(
                    ControlEventKind.STORE_REGAINED,
                    topic.name(),
                    "unavailable for " + (regainedAtMillis - lostAtMillis) + " ms",
                    0));
        }
        boolean isSnapshot = waitMillis == NO_WAIT;
        progress.onSlice(slice, nextOffset, age.millis());
        nextOffset = nextOffset(slice, isSnapshot);
        StateAge.ClockReading asOf = confirmedAt(requestedAt, waitMillis, slice);
        boolean isApplied = apply(slice, isSnapshot, asOf.monotonicMillis());
        // After a restore the store does not show the lost records until they have been written again.
        if (isApplied
                && slice.reachesEnd()
                && eras.isCompleteSince(requestedAt.monotonicMillis())
                && listener.isUpToDate()) {
            age.confirm(asOf);
        }
        scheduleNextRead(readGeneration, slice, isSnapshot);
    }

    /** Without records, an invalid end means that the log does not hold the next offset. */
    private static long nextOffset(LogSlice slice, boolean isSnapshot) {
        boolean isOffsetLost = !isSnapshot && slice.records().isEmpty() && slice.endOffset() == LogSlice.UNKNOWN_OFFSET;
        return isOffsetLost ? LogSlice.UNKNOWN_OFFSET : slice.nextOffset();
    }

    private void scheduleNextRead(int readGeneration, LogSlice slice, boolean isSnapshot) {
        boolean hasNewRecords = !isSnapshot && !slice.records().isEmpty();
        if (slice.reachesEnd()) {
            retryDelayMillis = MIN_RETRY_MILLIS;
            // The read after a snapshot follows at once, since records may have been appended meanwhile.
            timer.runAfter(
                    hasNewRecords ? settings.pauseAfterRecordsMillis() : settings.pauseMillis(),
                    () -> read(readGeneration));
        } else if (slice.isBehind() && (isSnapshot || hasNewRecords)) {
            retryDelayMillis = MIN_RETRY_MILLIS;
            // The state is known to be outdated, so pauses that save calls in calm times do not apply.
            timer.runAfter(0, () -> readFurther(readGeneration));
        } else {
            timer.runAfter(Math.max(settings.pauseMillis(), nextRetryDelay()), () -> read(readGeneration));
        }
    }

    private void readFurther(int readGeneration) {
        if (readGeneration == generation) {
            read(readGeneration, 0);
        }
    }

    private long nextRetryDelay() {
        long delayMillis = retryDelayMillis;
        retryDelayMillis = Math.min(MAX_RETRY_MILLIS, retryDelayMillis * 2);
        return delayMillis;
    }

    /**
     * Passes the records to the listener and returns whether that succeeded. Listeners reject records that they cannot
     * read; should one fail nevertheless, the next read must still be sent, or later records would never be seen.
     */
    private boolean apply(LogSlice slice, boolean isSnapshot, long asOfMillis) {
        try {
            listener.onSlice(
                    slice, isSnapshot, slice.reachesEnd() ? OptionalLong.of(asOfMillis) : OptionalLong.empty());
            if (isSnapshot) {
                listener.onSnapshot(slice.records());
            } else if (!slice.records().isEmpty()) {
                listener.onRecords(slice.records());
            }
            if (slice.reachesEnd()) {
                listener.onEndReached(asOfMillis);
            }
            return true;
        } catch (RuntimeException | StackOverflowError e) {
            events.emit(new ControlEvent(
                    ControlEventKind.RECORD_REJECTED,
                    topic.name(),
                    "records before offset " + slice.nextOffset() + " could not be applied in full: " + e,
                    age.millis()));
            return false;
        }
    }

    /**
     * Returns the time as of which the slice is current. A read that waited in full without a record saw the log as it
     * was at the end of the wait.
     */
    private StateAge.ClockReading confirmedAt(StateAge.ClockReading requestedAt, long waitMillis, LogSlice slice) {
        boolean isFullWait = waitMillis != NO_WAIT
                && slice.records().isEmpty()
                && clock.monotonicMillis() - requestedAt.monotonicMillis() >= waitMillis;
        return isFullWait
                ? new StateAge.ClockReading(
                        requestedAt.monotonicMillis() + waitMillis, requestedAt.wallMillis() + waitMillis)
                : requestedAt;
    }

    private void onFailure(int readGeneration, Throwable thrown) {
        Throwable cause =
                thrown instanceof CompletionException && thrown.getCause() != null ? thrown.getCause() : thrown;
        if (cause instanceof HistoryTruncatedException) {
            nextOffset = LogSlice.UNKNOWN_OFFSET;
            read(readGeneration);
            return;
        }
        if (cause instanceof OutdatedEraException) {
            events.emit(new ControlEvent(
                    ControlEventKind.STORE_RESPONSE_DISCARDED, topic.name(), describe(cause), age.millis()));
        } else if (!isStoreLost) {
            isStoreLost = true;
            lostAtMillis = clock.monotonicMillis();
            events.emit(new ControlEvent(ControlEventKind.STORE_LOST, topic.name(), describe(cause), age.millis()));
        }
        timer.runAfter(nextRetryDelay(), () -> read(readGeneration));
    }

    private static String describe(@Nullable Throwable cause) {
        return String.valueOf(cause == null ? null : cause.getMessage());
    }
}
