package org.jasminehub.ctl;

import org.jasminehub.core.document.DocumentYamlAdapter;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.history.HistoryReplay;
import org.jasminehub.core.history.PublishOutcome;
import org.jasminehub.core.history.PublishOutcomeTracker;
import org.jasminehub.core.history.PublishRecord;
import org.jasminehub.platform.log.LogPage;

/**
 * Decides step by step how to publish a record: read to the log's end, append only if the base is in force there, then
 * read on until the record's fate is known.
 *
 * <p>The record is appended at most once in a session. A later session with the same nonce finds what an earlier one
 * appended, and appends again only while the base is in force, so that at most one of the two is accepted.
 *
 * <p>Not thread-safe.
 */
final class PublishSession {
    private static final int WAIT_MILLIS = 500;

    private final PublishRecord publish;
    private final long deadlineMillis;
    private final HistoryReplay replay = new HistoryReplay(new DocumentYamlAdapter());
    private PublishOutcomeTracker settlement;
    private boolean appended;
    private boolean reachedEnd;

    /** Creates a session that gives up at {@code deadlineMillis} of the monotonic clock. */
    PublishSession(PublishRecord publish, long deadlineMillis) {
        this.publish = publish;
        this.deadlineMillis = deadlineMillis;
        this.settlement = new PublishOutcomeTracker(publish);
    }

    /** Returns what to do at {@code nowMillis}. */
    PublishAction next(long nowMillis) {
        return appended ? nextAfterAppend(nowMillis) : nextBeforeAppend(nowMillis);
    }

    /** Takes the answer to a read. */
    void onPage(LogPage page) {
        settlement.observe(replay.applyLogPage(page.firstOffset(), LogFollower.recordsOf(page)));
        reachedEnd = replay.nextOffset() >= page.nextOffset();
    }

    /** Notes that the append was sent, whatever came back. */
    void onAppended() {
        appended = true;
    }

    private PublishAction nextBeforeAppend(long nowMillis) {
        if (!reachedEnd) {
            return nowMillis < deadlineMillis ? read() : notAppended(ErrorCode.PLATFORM_UNAVAILABLE, "log: no answer");
        }
        if (!replay.isComplete()) {
            return notAppended(ErrorCode.HISTORY_TRUNCATED, LogFollower.truncatedMessage(replay));
        }
        PublishOutcome outcome = settlement.outcome(replay);
        if (!(outcome instanceof PublishOutcome.NotYetKnown)) {
            return new PublishAction.Finish(new PublishResult.Settled(outcome));
        }
        settlement = new PublishOutcomeTracker(publish);
        return new PublishAction.Append(publish);
    }

    private PublishAction nextAfterAppend(long nowMillis) {
        PublishOutcome outcome = settlement.outcome(replay);
        boolean isOpen = outcome instanceof PublishOutcome.NotYetKnown;
        if (isOpen && nowMillis < deadlineMillis) {
            return read();
        }
        return new PublishAction.Finish(new PublishResult.Settled(outcome));
    }

    private PublishAction read() {
        return new PublishAction.Read(replay.nextOffset(), appended ? WAIT_MILLIS : 0);
    }

    private static PublishAction notAppended(ErrorCode code, String reason) {
        return new PublishAction.Finish(new PublishResult.NotAppended(code, reason));
    }
}
