package org.jasminehub.core.history;

import static org.jasminehub.core.history.HistoryFixtures.invalidPublish;
import static org.jasminehub.core.history.HistoryFixtures.newReplay;
import static org.jasminehub.core.history.HistoryFixtures.publish;
import static org.jasminehub.core.history.HistoryFixtures.version;
import static org.jasminehub.core.history.HistoryState.NO_VERSION;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class HistoryReplayTest {
    private final HistoryFixtures.Log log = new HistoryFixtures.Log();
    private final HistoryReplay replay = newReplay();

    private static <T extends HistoryEvent> T assertSingle(List<HistoryEvent> events, Class<T> type) {
        List<T> found = events.stream().filter(type::isInstance).map(type::cast).toList();
        assertEquals(1, found.size(), () -> "of " + type.getSimpleName() + " in " + events);
        return found.get(0);
    }

    private static boolean has(List<HistoryEvent> events, Class<? extends HistoryEvent> type) {
        return events.stream().anyMatch(type::isInstance);
    }

    @Nested
    final class Decisions {
        @Test
        void testVersionInForceIsTheOffsetOfTheAcceptedRecord() {
            log.append("{\"type\":\"lease\"}");
            long offset = log.append(publish("drafts", NO_VERSION, "a"));
            log.readAll(replay);
            assertEquals(offset, version(replay, "drafts"));
        }

        @Test
        void testSecondPublishOnSameBaseConflictsAndNamesTheWinner() {
            long offset = log.append(publish("drafts", NO_VERSION, "a"));
            log.append(publish("drafts", NO_VERSION, "b"));
            HistoryEvent.PublishConflicted conflict =
                    assertSingle(log.readAll(replay), HistoryEvent.PublishConflicted.class);
            assertEquals(offset, conflict.versionInForce());
            assertEquals("operator-of-a", conflict.winner());
            assertEquals("b", conflict.nonce());
            assertEquals(offset, version(replay, "drafts"));
        }

        @Test
        void testPublishOnAnOldBaseConflicts() {
            long first = log.append(publish("drafts", NO_VERSION, "a"));
            long second = log.append(publish("drafts", first, "b"));
            log.append(publish("drafts", first, "late"));
            assertSingle(log.readAll(replay), HistoryEvent.PublishConflicted.class);
            assertEquals(second, version(replay, "drafts"));
        }

        @Test
        void testRecordStoredTwiceIsAcceptedOnce() {
            PublishRecord record = publish("drafts", NO_VERSION, "a");
            long first = log.append(record);
            log.append(record);
            assertSingle(log.readAll(replay), HistoryEvent.DocumentAccepted.class);
            assertEquals(first, version(replay, "drafts"));
        }

        @Test
        void testDocumentThatViolatesTheSchemaIsRejected() {
            log.append(invalidPublish("drafts", NO_VERSION, "a"));
            assertSingle(log.readAll(replay), HistoryEvent.PublishRejected.class);
            assertEquals(NO_VERSION, version(replay, "drafts"));
        }

        @Test
        void testDocumentOfAnotherTeamIsRejected() {
            String text = HistoryFixtures.document("payments", 1);
            log.append(new PublishRecord("drafts", NO_VERSION, "a", "ana", "test", 0, text));
            assertSingle(log.readAll(replay), HistoryEvent.PublishRejected.class);
        }

        @Test
        void testInvalidRecordsAreReportedAndSkipped() {
            log.append("\u0000\u0001{not json");
            log.append("{\"type\":\"publish\",\"team\":\"\"}");
            long offset = log.append(publish("drafts", NO_VERSION, "a"));
            long unreadable = log.readAll(replay).stream()
                    .filter(HistoryEvent.RecordUnreadable.class::isInstance)
                    .count();
            assertEquals(2, unreadable);
            assertEquals(offset, version(replay, "drafts"));
        }

        @Test
        void testDuplicateAndOutOfOrderRecordsAreIgnored() {
            long first = log.append(publish("drafts", NO_VERSION, "a"));
            long second = log.append(publish("drafts", first, "b"));
            assertEquals(List.of(), replay.applyPeerRecords(log.records(second, 1)));
            log.readAll(replay);
            HistoryState before = replay.state();
            assertEquals(List.of(), replay.applyPeerRecords(log.records(0, 2)));
            assertEquals(before, replay.state());
        }
    }

    @Nested
    final class StartAfterTruncation {
        @Test
        void testNothingIsDecidedWithoutSnapshot() {
            log.append(publish("drafts", NO_VERSION, "dropped"));
            log.append(publish("drafts", NO_VERSION, "b"));
            log.dropBelow(1);
            List<HistoryEvent> events = log.readAll(replay);
            assertSingle(events, HistoryEvent.HistoryGapFound.class);
            assertFalse(replay.isComplete());
            assertFalse(has(events, HistoryEvent.DocumentAccepted.class));
        }

        @Test
        void testSnapshotThatEndsBeforeFirstReadableOffsetIsNotUsed() {
            long first = log.append(publish("drafts", NO_VERSION, "a"));
            HistoryState stale = log.replayAll().state();
            log.append(publish("drafts", first, "dropped"));
            log.appendSnapshot(stale, "round");
            log.dropBelow(2);
            log.readAll(replay);
            assertFalse(replay.isComplete());
            assertEquals(NO_VERSION, version(replay, "drafts"));
        }

        @Test
        void testPublishBetweenSnapshotStateAndSnapshotRecordIsApplied() {
            long first = log.append(publish("drafts", NO_VERSION, "a"));
            HistoryState stale = log.replayAll().state();
            long second = log.append(publish("drafts", first, "b"));
            log.appendSnapshot(stale, "round");
            log.dropBelow(1);
            log.readAll(replay);
            assertTrue(replay.isComplete());
            assertEquals(second, version(replay, "drafts"));
        }

        @Test
        void testIncompleteSnapshotIsNotUsed() {
            log.append(publish("drafts", NO_VERSION, "a"));
            log.append(publish("payments", NO_VERSION, "b"));
            HistoryState state = log.replayAll().state();
            log.append(
                    new SnapshotSplitter(1).split(state, "round", "entry-1", 0).get(0));
            log.dropBelow(2);
            log.readAll(replay);
            assertFalse(replay.isComplete());
        }

        @Test
        void testInterleavedSnapshotsOfTwoWritersAreUsable() {
            log.append(publish("drafts", NO_VERSION, "a"));
            log.append(publish("payments", NO_VERSION, "b"));
            HistoryState state = log.replayAll().state();
            List<SnapshotRecord> one = new SnapshotSplitter(1).split(state, "one", "entry-1", 0);
            List<SnapshotRecord> other = new SnapshotSplitter(1).split(state, "other", "entry-2", 0);
            log.append(one.get(0));
            log.append(other.get(1));
            long third = log.append(publish("drafts", 0, "c"));
            log.append(other.get(0));
            log.append(one.get(1));
            log.dropBelow(2);
            log.readAll(replay);
            assertEquals(third, version(replay, "drafts"));
            assertEquals(log.replayAllFromStart().state(), replay.state());
        }
    }

    @Nested
    final class Outage {
        @Test
        void testOutageShorterThanRetentionMissesNoRecord() {
            long first = log.append(publish("drafts", NO_VERSION, "a"));
            log.readAll(replay);
            long second = log.append(publish("drafts", first, "b"));
            log.dropBelow(second);
            log.readAll(replay);
            assertTrue(replay.isComplete());
            assertEquals(second, version(replay, "drafts"));
        }

        @Test
        void testOutageLongerThanRetentionKeepsDocumentsAndDecidesNothing() {
            long first = log.append(publish("drafts", NO_VERSION, "a"));
            log.readAll(replay);
            long dropped = log.append(publish("drafts", first, "dropped"));
            log.append(publish("drafts", first, "stale"));
            log.append(publish("drafts", dropped, "c"));
            log.dropBelow(dropped + 1);
            List<HistoryEvent> events = log.readAll(replay);
            assertFalse(replay.isComplete());
            assertFalse(has(events, HistoryEvent.DocumentAccepted.class));
            assertEquals(first, version(replay, "drafts"));
        }

        @Test
        void testSnapshotOfAnotherInstanceClosesTheGap() {
            long first = log.append(publish("drafts", NO_VERSION, "a"));
            log.readAll(replay);
            long second = log.append(publish("drafts", first, "b"));
            HistoryReplay other = log.replayAll();
            log.dropBelow(second + 1);
            log.append("{\"type\":\"lease\"}");
            log.appendSnapshot(other.state(), "round");
            log.readAll(replay);
            log.readAll(other);
            assertEquals(other.state(), replay.state());
        }

        @Test
        void testDroppedRecordsThatWereReadAreNoGap() {
            long first = log.append(publish("drafts", NO_VERSION, "a"));
            log.readAll(replay);
            log.dropBelow(first + 1);
            log.readAll(replay);
            assertTrue(replay.isComplete());
        }
    }

    @Nested
    final class StatesAndRecordsFromPeers {
        @Test
        void testOlderStateOfPeerIsIgnored() {
            long first = log.append(publish("drafts", NO_VERSION, "a"));
            HistoryState older = log.replayAll().state();
            long second = log.append(publish("drafts", first, "b"));
            log.readAll(replay);
            assertEquals(List.of(), replay.install(older, "entry-2"));
            assertEquals(second, version(replay, "drafts"));
        }

        @Test
        void testStateThatLowersAVersionIsRefused() {
            long first = log.append(publish("drafts", NO_VERSION, "a"));
            HistoryState older = log.replayAll().state();
            long second = log.append(publish("drafts", first, "b"));
            log.readAll(replay);
            assertSingle(replay.install(older.withCompleteTo(9), "entry-2"), HistoryEvent.SnapshotRefused.class);
            assertEquals(second, version(replay, "drafts"));
        }

        @Test
        void testSnapshotWithUnacceptedVersionIsRefused() {
            log.append(publish("drafts", NO_VERSION, "a"));
            log.readAll(replay);
            HistoryFixtures.Log forged = new HistoryFixtures.Log();
            forged.append("{\"type\":\"lease\"}");
            forged.append(publish("drafts", NO_VERSION, "forged"));
            log.append("{\"type\":\"lease\"}");
            log.appendSnapshot(forged.replayAll().state(), "round");
            assertSingle(log.readAll(replay), HistoryEvent.SnapshotRefused.class);
            assertEquals(0, version(replay, "drafts"));
        }

        @Test
        void testRecordsFromPeerReplaceDroppedRecords() {
            long first = log.append(publish("drafts", NO_VERSION, "a"));
            log.readAll(replay);
            long second = log.append(publish("drafts", first, "b"));
            long third = log.append(publish("drafts", second, "c"));
            List<OffsetRecord> held = log.records(second, 1);
            log.dropBelow(third);
            log.readAll(replay);
            assertFalse(replay.isComplete());
            replay.applyPeerRecords(held);
            assertTrue(replay.isComplete());
            log.readAll(replay);
            assertEquals(third, version(replay, "drafts"));
        }

        @Test
        void testReplayAfterTruncationContinuesFromPeerState() {
            long first = log.append(publish("drafts", NO_VERSION, "a"));
            HistoryReplay peer = log.replayAll();
            log.dropBelow(1);
            long second = log.append(publish("drafts", first, "b"));
            log.readAll(replay);
            assertFalse(replay.isComplete());
            replay.install(peer.state(), "entry-2");
            log.readAll(replay);
            assertTrue(replay.isComplete());
            assertEquals(second, version(replay, "drafts"));
        }
    }
}
