package org.jasminehub.entry.control.documents;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.history.HistoryEvent;
import org.jasminehub.core.history.HistoryRecordCodec;
import org.jasminehub.core.history.HistoryState;
import org.jasminehub.core.history.SnapshotPolicy;
import org.jasminehub.core.history.SnapshotRecord;
import org.jasminehub.core.history.SnapshotSplitter;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.log.LogService;
import org.jspecify.annotations.Nullable;

/** Writes a snapshot to the log when it is this instance's turn. Must be used on the control thread only. */
final class SnapshotWriter {
    private static final int MAX_PART_CHARACTERS = 64 * 1024;
    private static final long NOT_SEEN = Long.MIN_VALUE;

    private final DocumentSettings settings;
    private final SnapshotPolicy policy;
    private final LogService log;
    private final Executor control;
    private final Clock clock;
    private final Supplier<String> snapshotIds;
    private final EventSink events;
    private final HistoryRecordCodec codec = new HistoryRecordCodec();
    private final long startedMillis;
    private long newestSeenMillis = NOT_SEEN;
    private long newestWallMillis;
    private boolean writing;

    SnapshotWriter(
            DocumentSettings settings,
            LogService log,
            Executor control,
            Clock clock,
            Supplier<String> snapshotIds,
            EventSink events) {
        this.settings = settings;
        this.policy = new SnapshotPolicy(settings.logRetentionMillis());
        this.log = log;
        this.control = control;
        this.clock = clock;
        this.snapshotIds = snapshotIds;
        this.events = events;
        this.startedMillis = clock.monotonicMillis();
    }

    /** Records that a complete snapshot was read from the log. */
    void onSnapshotSeen(HistoryEvent.SnapshotSeen snapshot) {
        newestSeenMillis = clock.monotonicMillis();
        newestWallMillis = snapshot.wallMillis();
    }

    /** Writes a snapshot of {@code state} if one is due. The state must be up to date with the log. */
    void writeIfDue(HistoryState state, List<Member> members) {
        boolean isEmpty = state.head().count() == 0;
        if (writing || isEmpty || !policy.isDue(settings.self(), members, ageMillis())) {
            return;
        }
        writing = true;
        List<SnapshotRecord> parts = new SnapshotSplitter(MAX_PART_CHARACTERS)
                .split(state, snapshotIds.get(), settings.self().value(), clock.wallMillis());
        CompletionStage<Long> appended = CompletableFuture.completedFuture(0L);
        for (SnapshotRecord part : parts) {
            appended = appended.thenCompose(offset -> log.append(codec.encode(part)));
        }
        appended.whenCompleteAsync((offset, failure) -> onWritten(state, parts.size(), failure), control);
    }

    /**
     * Returns the age of the newest snapshot: the larger of its age by the wall clock and the time since it was read.
     * The latter counts because a wall clock that was set back would make the snapshot look too recent.
     */
    private long ageMillis() {
        if (newestSeenMillis == NOT_SEEN) {
            return policy.dueAgeMillis() + clock.monotonicMillis() - startedMillis;
        }
        return Math.max(clock.monotonicMillis() - newestSeenMillis, clock.wallMillis() - newestWallMillis);
    }

    private void onWritten(HistoryState state, int parts, @Nullable Throwable failure) {
        writing = false;
        if (failure == null) {
            events.emit(new DocumentEvent.SnapshotWritten(state.completeTo(), parts));
            newestSeenMillis = clock.monotonicMillis();
            newestWallMillis = clock.wallMillis();
        } else {
            events.emit(new DocumentEvent.RecordsUnavailable("log", "snapshot not written: " + failure.getMessage()));
        }
    }
}
