package org.jasminehub.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.jasminehub.wire.generated.InstanceRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests when an instance counts as missing from the log of registrations. */
final class InstanceDirectoryTest {
    private final ScriptedStore store = new ScriptedStore();
    private final InstanceRegistration registration = new InstanceRegistration(
            instance("entry-1"), store.client(), store::runAfter, store.events::add, store.eras, new Random(1));
    private final InstanceDirectory directory = new InstanceDirectory(
            registration,
            store.client(),
            FollowerSettings.batching(() -> 8_000, 250, 600),
            store::runAfter,
            store.clock,
            store.events::add,
            store.eras);

    private static InstanceRecord instance(String name) {
        return InstanceRecord.newBuilder()
                .setInstance(name)
                .setHost("127.0.0.1")
                .setCallerPort(1)
                .setPeerPort(1)
                .setFailureDomain("a")
                .build();
    }

    private static KeyedRecord record(String name) {
        return new KeyedRecord(name, instance(name).toByteArray(), KeyedRecord.UNKNOWN_OFFSET);
    }

    private List<String> names() {
        return directory.entries().stream()
                .map(InstanceRecord::getInstance)
                .sorted()
                .toList();
    }

    /** Answers the first read with a page, and another one that shows records appended since the first. */
    private void answerPagesBefore(long endOffset, KeyedRecord listed) {
        store.answerNewestPage(1, true, listed);
        store.answerNewestPage(endOffset, false);
    }

    /** Guards against conclusions from a list that lacks what was appended while its pages were read. */
    @Nested
    final class Lists {
        @Test
        void testAListIsCompleteOnceTheLogIsReadToItsEnd() {
            directory.start(() -> {});
            answerPagesBefore(2, record("entry-2"));
            assertFalse(directory.hasRead());

            store.answerKeyedRecords(2, record("entry-3"));

            assertTrue(directory.hasRead());
            assertEquals(List.of("entry-2", "entry-3"), names());
        }

        /** Guards against instances that stay unconnected because the store states no valid end. */
        @Test
        void testListedInstancesCountAtOnceAlthoughTheEndIsUnknown() {
            List<List<String>> changes = new ArrayList<>();
            directory.start(() -> changes.add(names()));
            store.answerNewest(-1, record("entry-2"));

            assertEquals(List.of(List.of("entry-2")), changes);
            assertFalse(directory.hasRead());
        }

        @Test
        void testAnInstanceThatFollowsTheListIsKept() {
            directory.start(() -> {});
            store.answerNewest(2, record("entry-2"), record("entry-3"));
            store.answer(410, new byte[0]);
            answerPagesBefore(2, record("entry-2"));
            assertEquals(List.of("entry-2", "entry-3"), names());

            store.answerKeyedRecords(2, record("entry-3"));

            assertEquals(List.of("entry-2", "entry-3"), names());
        }

        @Test
        void testAnInstanceThatIsMissingUpToTheEndIsGone() {
            directory.start(() -> {});
            store.answerNewest(2, record("entry-2"), record("entry-3"));
            store.answer(410, new byte[0]);
            answerPagesBefore(2, record("entry-2"));

            store.answerKeyedRecords(2, record("entry-2"));

            assertEquals(List.of("entry-2"), names());
        }
    }
}
