package org.jasminehub.ctl;

import static org.jasminehub.core.history.HistoryState.NO_VERSION;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.history.HistoryState;
import org.jasminehub.core.history.PublishOutcome;
import org.jasminehub.core.history.PublishRecord;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.ctl.FaultyLog.AppendFault;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PublishRunnerTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private final ManualClock clock = new ManualClock(0);
    private final FaultyLog log = new FaultyLog(clock);

    static PublishRecord publish(long base, String nonce) {
        String text = "schemaVersion: 1\nteam: drafts\nworkspaces: []\nroutes: []\n"
                + "experts: {skewWeight: 1, moveWeight: 1}\n";
        return new PublishRecord("drafts", base, nonce, "operator-of-" + nonce, "test", 0, text);
    }

    private PublishResult run(PublishRecord publish) {
        PublishSession session = new PublishSession(publish, clock.monotonicMillis() + TIMEOUT_MILLIS);
        return new PublishRunner(log, clock, clock::advanceMillis).run(session);
    }

    private void assertOutcome(PublishOutcome expected, PublishResult result) {
        assertEquals(new PublishResult.Observed(expected), result);
    }

    private HistoryState state() {
        HistoryReader reader = new HistoryReader(log, clock::advanceMillis);
        reader.readToEnd();
        return reader.replay().state();
    }

    @Nested
    final class Append {
        @Test
        void testSuccessfulAppendIsAccepted() {
            assertOutcome(new PublishOutcome.Accepted(0), run(publish(NO_VERSION, "mine")));
        }

        @Test
        void testLostResponseIsResolvedWithoutSecondAppend() {
            log.failAppend(AppendFault.RESPONSE_LOST);
            log.failReads(3);
            assertOutcome(new PublishOutcome.Accepted(0), run(publish(NO_VERSION, "mine")));
            assertEquals(1, log.appends());
        }

        @Test
        void testRecordStoredTwiceIsAcceptedOnce() {
            log.failAppend(AppendFault.STORED_TWICE);
            assertOutcome(new PublishOutcome.Accepted(0), run(publish(NO_VERSION, "mine")));
            assertEquals(1, state().head().count());
        }

        @Test
        void testLostAppendIsNotYetKnownAndCanBeRetriedWithSameNonce() {
            log.failAppend(AppendFault.REQUEST_LOST);
            assertOutcome(new PublishOutcome.NotYetKnown(0), run(publish(NO_VERSION, "mine")));
            assertOutcome(new PublishOutcome.Accepted(0), run(publish(NO_VERSION, "mine")));
        }

        @Test
        void testDelayedRecordAndItsRetryAreAcceptedOnce() {
            log.failAppend(AppendFault.DELAYED);
            assertOutcome(new PublishOutcome.NotYetKnown(0), run(publish(NO_VERSION, "mine")));
            log.runBeforeAppend(log::storeDelayed);
            assertOutcome(new PublishOutcome.Accepted(0), run(publish(NO_VERSION, "mine")));
            assertEquals(1, state().head().count());
        }

        @Test
        void testRetryAfterAppendTookEffectAppendsNothing() {
            log.failAppend(AppendFault.DELAYED);
            run(publish(NO_VERSION, "mine"));
            log.storeDelayed();
            assertOutcome(new PublishOutcome.Accepted(0), run(publish(NO_VERSION, "mine")));
            assertEquals(1, log.appends());
        }
    }

    @Nested
    final class Race {
        @Test
        void testConflictReportsTheWinningOperator() {
            log.runBeforeAppend(() -> log.store(publish(NO_VERSION, "other")));
            assertOutcome(new PublishOutcome.Conflicted(0, "operator-of-other"), run(publish(NO_VERSION, "mine")));
        }

        @Test
        void testLostAppendIsAConflictOnceItsBaseIsReplaced() {
            log.failAppend(AppendFault.REQUEST_LOST);
            log.runBeforeAppend(() -> log.store(publish(NO_VERSION, "other")));
            assertOutcome(new PublishOutcome.Conflicted(0, "operator-of-other"), run(publish(NO_VERSION, "mine")));
        }

        @Test
        void testRecordWhoseBaseIsNotInForceIsNotAppended() {
            log.store(publish(NO_VERSION, "other"));
            assertOutcome(new PublishOutcome.Conflicted(0, "operator-of-other"), run(publish(7, "mine")));
            assertEquals(0, log.appends());
        }
    }

    @Nested
    final class Outage {
        @Test
        void testUnreachableLogIsReportedAndNothingIsAppended() {
            log.failReads(Integer.MAX_VALUE);
            PublishResult.NotAppended failed =
                    assertInstanceOf(PublishResult.NotAppended.class, run(publish(NO_VERSION, "mine")));
            assertEquals(ErrorCode.PLATFORM_UNAVAILABLE, failed.code());
            assertEquals(0, log.appends());
        }

        @Test
        void testTruncatedLogWithoutSnapshotIsReportedAndNothingIsAppended() {
            log.store(publish(NO_VERSION, "other"));
            log.truncateBefore(1);
            PublishResult.NotAppended failed =
                    assertInstanceOf(PublishResult.NotAppended.class, run(publish(NO_VERSION, "mine")));
            assertEquals(ErrorCode.HISTORY_TRUNCATED, failed.code());
            assertEquals(0, log.appends());
        }

        @Test
        void testPublishSucceedsOnTruncatedLogWithSnapshot() {
            log.store(publish(NO_VERSION, "other"));
            HistoryState state = state();
            log.truncateBefore(1);
            log.storeSnapshot(state);
            assertOutcome(new PublishOutcome.Accepted(2), run(publish(0, "mine")));
        }
    }
}
