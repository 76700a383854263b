package org.jasminehub.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.error.InvalidArgumentException;
import org.jasminehub.core.event.Event;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests when a follower sends its reads. */
final class LogFollowerTest {
    private static final long WAIT_MILLIS = 8_000;
    private static final long BATCH_MILLIS = 250;
    private static final long TIMEOUT_MILLIS = 600;

    private final ScriptedStore store = new ScriptedStore();
    private final List<String> keys = new ArrayList<>();
    private final LogFollower.Listener listener = new LogFollower.Listener() {
        @Override
        public void onSnapshot(List<KeyedRecord> records) {
            onRecords(records);
        }

        @Override
        public void onRecords(List<KeyedRecord> records) {
            records.forEach(each -> keys.add(each.key()));
        }
    };

    /** Reads that batch records; guards against a read for each registration after a mass start. */
    @Nested
    final class Batching {
        @BeforeEach
        void start() {
            store.follow(FollowerSettings.batching(() -> WAIT_MILLIS, BATCH_MILLIS, TIMEOUT_MILLIS), listener)
                    .restart();
        }

        @Test
        void testTheReadAfterTheSnapshotFollowsAtOnce() {
            store.answerEmptySnapshot();

            assertEquals(1, store.reads.size());
            assertTrue(store.reads.element().uri().contains("wait_ms=8000"));
        }

        @Test
        void testFirstRecordIsAppliedAtOnceAndTheNextReadFollowsAfterTheBatchTime() {
            store.answerEmptySnapshot();
            store.answerRecords("a");

            assertEquals(List.of("a"), keys);
            store.advance(BATCH_MILLIS - 1);
            assertEquals(0, store.reads.size());
            store.advance(1);
            assertEquals(1, store.reads.size());
            store.answerRecords("b", "c", "d");
            assertEquals(List.of("a", "b", "c", "d"), keys);
        }

        @Test
        void testAReadWithoutRecordsIsFollowedByTheNextAtOnce() {
            store.answerEmptySnapshot();
            store.advance(WAIT_MILLIS);
            store.answerRecords();

            assertEquals(1, store.reads.size());
        }
    }

    @Test
    void testWaitingReadsFollowEachRecordAtOnce() {
        store.follow(FollowerSettings.waiting(() -> WAIT_MILLIS, TIMEOUT_MILLIS), listener)
                .restart();
        store.answerEmptySnapshot();
        store.answerRecords("a");

        assertEquals(1, store.reads.size());
    }

    /** Guards against an instance that never again learns of a change because one record could not be applied. */
    @Test
    void testReadingGoesOnAfterARecordThatCannotBeApplied() {
        LogFollower.Listener failing = new LogFollower.Listener() {
            @Override
            public void onSnapshot(List<KeyedRecord> records) {
                throw new PlatformException("snapshot", "cause", null);
            }

            @Override
            public void onRecords(List<KeyedRecord> records) {
                listener.onRecords(records);
                throw new PlatformException("records", "cause", null);
            }
        };
        store.follow(FollowerSettings.waiting(() -> WAIT_MILLIS, TIMEOUT_MILLIS), failing)
                .restart();

        store.answerEmptySnapshot();
        assertEquals(1, store.reads.size());
        store.answerRecords("a");
        assertEquals(1, store.reads.size());
        store.answerRecords("b");
        assertEquals(List.of("a", "b"), keys);
    }

    /** Guards against a read that confirms the age only at the end of its wait, and against applying records twice. */
    @Test
    void testAReadAtOnceReplacesTheWaitingRead() {
        LogFollower follower = store.follow(FollowerSettings.waiting(() -> WAIT_MILLIS, TIMEOUT_MILLIS), listener);
        follower.restart();
        store.answerEmptySnapshot();
        store.advance(2_000);

        follower.readNow();
        ScriptedStore.OpenRead abandoned = store.reads.remove();
        assertFalse(store.reads.element().uri().contains("wait_ms"));
        store.answerRecords();
        assertEquals(0, follower.age().millis());
        assertTrue(store.reads.element().uri().contains("wait_ms=8000"));
        store.answerRecords("a");
        store.reads.addFirst(abandoned);
        store.answerRecords("a");
        assertEquals(List.of("a"), keys);
    }

    /** Guards against a follower that ends without a trace because a record could not be applied. */
    @Test
    void testRecordsThatCannotBeAppliedDoNotEndTheFollowing() {
        store.follow(FollowerSettings.waiting(() -> WAIT_MILLIS, TIMEOUT_MILLIS), failingOn("odd"))
                .restart();
        store.answerEmptySnapshot();
        store.answerRecords("odd");
        store.advance(TIMEOUT_MILLIS);
        store.answerRecords("a");

        assertEquals(List.of("a"), keys);
        assertEquals(1, store.events.size());
    }

    /** A snapshot that could not be applied must not count as a confirmation of the state in use. */
    @Test
    void testASnapshotThatCannotBeAppliedConfirmsNothing() {
        LogFollower follower =
                store.follow(FollowerSettings.waiting(() -> WAIT_MILLIS, TIMEOUT_MILLIS), failingOnFirstSnapshot());
        long neverMillis = follower.age().millis();
        follower.restart();
        store.answerEmptySnapshot();

        assertEquals(neverMillis, follower.age().millis());
        assertTrue(store.reads.element().uri().contains("from=0"));
        store.answerRecords("a");
        assertEquals(0, follower.age().millis());
    }

    /** Guards against a state that counts as confirmed although the read did not show the end of the log. */
    @Nested
    final class Ends {
        private LogFollower follower;

        private void follow(FollowerSettings settings) {
            follower = store.follow(settings, listener);
            follower.restart();
            store.answerEmptySnapshot();
            store.advance(settings.pauseMillis());
            assertEquals(settings.pauseMillis(), follower.age().millis());
        }

        private void followInBatches() {
            follow(FollowerSettings.batching(() -> WAIT_MILLIS, BATCH_MILLIS, TIMEOUT_MILLIS));
        }

        @Test
        void testAReadThatStopsBeforeTheEndConfirmsNothing() {
            followInBatches();
            store.advance(5_000);
            follower.readNow();
            store.reads.remove();

            store.answerRecordsOfLog(3, "a");

            assertEquals(List.of("a"), keys);
            assertEquals(5_000, follower.age().millis());
        }

        @Test
        void testTheNextReadFollowsWithoutPauseOrWaitUntilTheEndIsReached() {
            for (FollowerSettings settings : List.of(
                    FollowerSettings.batching(() -> WAIT_MILLIS, BATCH_MILLIS, TIMEOUT_MILLIS),
                    FollowerSettings.polling(800, TIMEOUT_MILLIS),
                    FollowerSettings.waiting(() -> WAIT_MILLIS, TIMEOUT_MILLIS))) {
                store.reads.clear();
                keys.clear();
                follow(settings);

                store.answerRecordsOfLog(3, "a");
                assertEquals(1, store.nextFrom());
                assertFalse(store.reads.element().uri().contains("wait_ms"));
                store.answerRecordsOfLog(3, "b");
                assertEquals(2, store.nextFrom());
                store.advance(7);
                store.answerRecordsOfLog(3, "c");

                assertEquals(List.of("a", "b", "c"), keys);
                assertEquals(7, follower.age().millis());
                follower.stop();
            }
        }

        /** Each read confirms the state as of its request although the log never stands still. */
        @Test
        void testALogToWhichRecordsAreAppendedAllTheTimeIsConfirmedWithEachRead() {
            follow(FollowerSettings.polling(800, TIMEOUT_MILLIS));
            for (int read = 1; read <= 50; read++) {
                store.advance(5);
                long from = store.nextFrom();
                store.answerRecordsOfLog(from + 2, "a", "b");
                assertEquals(5, follower.age().millis());
                store.advance(800);
            }
        }

        @Test
        void testAnEndThatCannotBeConfirmsNothingAndLosesNoRecord() {
            followInBatches();
            store.answerRecords("a", "b");
            store.advance(BATCH_MILLIS);
            long ageMillis = follower.age().millis();

            store.answerRecordsOfLog(1, "c");

            assertEquals(List.of("a", "b", "c"), keys);
            assertEquals(ageMillis, follower.age().millis());
            store.advance(1_000);
            assertEquals(3, store.nextFrom());
            store.answerRecordsOfLog(4, "d");
            assertEquals(0, follower.age().millis());
            assertEquals(List.of("a", "b", "c", "d"), keys);
        }

        @Test
        void testALogThatEndsBeforeTheNextOffsetIsReadFromItsNewestRecords() {
            followInBatches();
            store.answerRecords("a", "b");
            store.advance(BATCH_MILLIS);

            store.answerRecordsOfLog(1);
            store.advance(1_000);

            assertTrue(store.reads.element().uri().contains("/log-newest"));
        }

        /** Guards against reads without a pause if the store never shows the records that it states. */
        @Test
        void testReadsWithoutRecordsBeforeTheEndFollowWithGrowingPauses() {
            followInBatches();
            int reads = 0;
            for (int millis = 0; millis < 10_000; millis += 10) {
                if (!store.reads.isEmpty()) {
                    reads++;
                    store.answerRecordsOfLog(Long.MAX_VALUE);
                }
                store.advance(10);
            }

            assertTrue(reads <= 20, reads + " reads in 10 s");
            assertEquals(10_000, follower.age().millis());
        }

        @Test
        void testTheLogStatesOnceThatReadsAreBehind() {
            followInBatches();
            for (int read = 0; read < 20; read++) {
                store.answerRecordsOfLog(21, "a");
            }
            store.answerRecordsOfLog(21, "a");

            assertEquals(
                    List.of(ControlEventKind.STORE_READ_BEHIND, ControlEventKind.STORE_READ_COMPLETED),
                    store.events.stream().map(Event::kind).toList());
            assertTrue(store.events.get(0).toString().contains("read to offset 1 of a log that ends at 21"));
        }

        @Test
        void testLinesAboutReadsAreBounded() {
            followInBatches();
            for (int read = 0; read < 1_000; read++) {
                long from = store.nextFrom();
                store.answerRecordsOfLog(from + 2, "a");
                store.answerRecordsOfLog(from + 2, "b");
                store.advance(BATCH_MILLIS);
            }

            assertTrue(store.events.size() <= 2 * 1_000 * BATCH_MILLIS / 1_000 + 2, store.events.size() + " lines");
        }
    }

    private LogFollower.Listener failingOn(String key) {
        return new LogFollower.Listener() {
            @Override
            public void onSnapshot(List<KeyedRecord> records) {}

            @Override
            public void onRecords(List<KeyedRecord> records) {
                if (records.get(0).key().equals(key)) {
                    throw new InvalidArgumentException("record", "odd", "one that can be applied");
                }
                listener.onRecords(records);
            }
        };
    }

    private static LogFollower.Listener failingOnFirstSnapshot() {
        return new LogFollower.Listener() {
            private boolean hasFailed;

            @Override
            public void onSnapshot(List<KeyedRecord> records) {
                if (!hasFailed) {
                    hasFailed = true;
                    throw new InvalidArgumentException("record", "odd", "one that can be applied");
                }
            }

            @Override
            public void onRecords(List<KeyedRecord> records) {}
        };
    }
}
