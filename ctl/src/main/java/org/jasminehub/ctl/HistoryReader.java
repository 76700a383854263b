package org.jasminehub.ctl;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.jasminehub.core.document.DocumentYamlAdapter;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.history.HistoryEvent;
import org.jasminehub.core.history.HistoryReplay;
import org.jasminehub.core.history.OffsetRecord;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.platform.log.LogPage;
import org.jasminehub.platform.log.LogService;

/** Reads the platform's log to its end and replays the history in it. Not thread-safe. */
final class HistoryReader {
    static final int MAX_RECORDS = 256;

    private static final int MAX_FAILURES = 20;
    private static final long RETRY_PAUSE_MILLIS = 250;

    private final LogService log;
    private final Pause pause;
    private final HistoryReplay replay = new HistoryReplay(new DocumentYamlAdapter());
    private final List<HistoryEvent> events = new ArrayList<>();

    HistoryReader(LogService log, Pause pause) {
        this.log = log;
        this.pause = pause;
    }

    HistoryReplay replay() {
        return replay;
    }

    /**
     * Reads to the end of the log and returns the events of the history.
     *
     * @throws CtlException if the log has dropped records that no snapshot covers
     * @throws PlatformException if the log does not respond
     */
    List<HistoryEvent> readToEnd() {
        long endOffset = readPage();
        while (replay.nextOffset() < endOffset) {
            endOffset = readPage();
        }
        if (!replay.isComplete()) {
            throw new CtlException(ErrorCode.HISTORY_TRUNCATED, truncatedMessage(replay));
        }
        return List.copyOf(events);
    }

    static String truncatedMessage(HistoryReplay replay) {
        return "the log has dropped records and up to offset " + replay.nextOffset()
                + " holds no snapshot that covers them; start an entry instance that still has the documents in force,"
                + " and try again once it has written a snapshot";
    }

    static List<OffsetRecord> recordsOf(LogPage page) {
        return page.records().stream()
                .map(record -> new OffsetRecord(record.offset(), record.payload()))
                .toList();
    }

    /** Waits for {@code stage} and returns its value; throws its {@link PlatformException} if it failed with one. */
    static <T> T await(CompletionStage<T> stage) {
        try {
            return stage.toCompletableFuture().join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof PlatformException failure) {
                throw failure;
            }
            throw new CtlException(ErrorCode.INTERNAL, "unexpected failure", e.getCause());
        }
    }

    private long readPage() {
        for (int failures = 1; ; failures++) {
            try {
                LogPage page = await(log.read(replay.nextOffset(), MAX_RECORDS, 0));
                events.addAll(replay.applyLogPage(page.firstOffset(), recordsOf(page)));
                return page.nextOffset();
            } catch (PlatformException e) {
                if (failures == MAX_FAILURES) {
                    throw e;
                }
                pause.pauseMillis(RETRY_PAUSE_MILLIS);
            }
        }
    }
}
