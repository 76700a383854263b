package org.jasminehub.ctl;

import org.jasminehub.core.document.DocumentYamlAdapter;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.history.HistoryReplay;
import org.jasminehub.core.history.PublishOutcome;
import org.jasminehub.core.history.PublishOutcomeTracker;
import org.jasminehub.core.history.PublishRecord;
import org.jasminehub.platform.log.LogPage;

/**
 * Decides step by step how to publish a record: reads to the end of the log, appends the record only if its base
 * version is in force there, and then reads on until the outcome is known or the deadline has passed.
 *
 * <p>The record is appended at most once in a session. A later session with the same nonce finds a record that an
 * earlier one appended. It appends the record again only while the base version is still in force, so that at most one
 * of the two records is accepted.
 *
 * <p>Not thread-safe.
 */
final class PublishSession {
    private static final int WAIT_MILLIS = 500;

    private final PublishRecord publish;
    private final long deadlineMillis;
    private final HistoryReplay replay = new HistoryReplay(new DocumentYamlAdapter());
    private PublishOutcomeTracker outcomeTracker;
    private boolean appended;
    private boolean reachedEnd;

    /** Creates a session that stops waiting for the log at {@code deadlineMillis} of the monotonic clock. */
    PublishSession(PublishRecord publish, long deadlineMillis) {
        this.publish = publish;
        this.deadlineMillis = deadlineMillis;
        this.outcomeTracker = new PublishOutcomeTracker(publish);
    }

    /** Returns the next action at {@code nowMillis}. */
    PublishAction next(long nowMillis) {
        return appended ? nextAfterAppend(nowMillis) : nextBeforeAppend(nowMillis);
    }

    /** Called with the page that a read returned. */
    void onPage(LogPage page) {
        outcomeTracker.observe(replay.applyLogPage(page.firstOffset(), HistoryReader.recordsOf(page)));
        reachedEnd = replay.nextOffset() >= page.nextOffset();
    }

    /** Called before the append is sent; from then on it may have taken effect, even if it fails. */
    void onAppendStarted() {
        appended = true;
    }

    private PublishAction nextBeforeAppend(long nowMillis) {
        if (!reachedEnd) {
            return nowMillis < deadlineMillis ? read() : notAppended(ErrorCode.PLATFORM_UNAVAILABLE, "log: no answer");
        }
        if (!replay.isComplete()) {
            return notAppended(ErrorCode.HISTORY_TRUNCATED, HistoryReader.truncatedMessage(replay));
        }
        PublishOutcome outcome = outcomeTracker.outcome(replay);
        if (!(outcome instanceof PublishOutcome.NotYetKnown)) {
            return new PublishAction.Finish(new PublishResult.Observed(outcome));
        }
        // Records dropped from the log so far precede the append, so they cannot hide its outcome.
        outcomeTracker = new PublishOutcomeTracker(publish);
        return new PublishAction.Append(publish);
    }

    private PublishAction nextAfterAppend(long nowMillis) {
        PublishOutcome outcome = outcomeTracker.outcome(replay);
        boolean isOpen = outcome instanceof PublishOutcome.NotYetKnown;
        if (isOpen && nowMillis < deadlineMillis) {
            return read();
        }
        return new PublishAction.Finish(new PublishResult.Observed(outcome));
    }

    private PublishAction read() {
        return new PublishAction.Read(replay.nextOffset(), appended ? WAIT_MILLIS : 0);
    }

    private static PublishAction notAppended(ErrorCode code, String reason) {
        return new PublishAction.Finish(new PublishResult.NotAppended(code, reason));
    }
}
