package org.jasminehub.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.error.InvalidArgumentException;
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
