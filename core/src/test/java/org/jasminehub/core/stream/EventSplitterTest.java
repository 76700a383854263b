package org.jasminehub.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class EventSplitterTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\n";

    @Test
    void testEventsAreCompleteForAnyChunkSize() {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int size = 1; size <= bytes.length; size++) {
            EventSplitter splitter = new EventSplitter();
            List<StreamEvent> events = new ArrayList<>();
            for (int from = 0; from < bytes.length; from += size) {
                events.addAll(splitter.take(Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + size))));
            }
            assertEquals(3, events.size(), "chunks of " + size);
            assertEquals(new EventId("1"), events.get(0).id());
            assertEquals("id:2\r\ndata: b\r\n\r\n", new String(events.get(1).bytes(), StandardCharsets.UTF_8));
            assertNull(events.get(2).id());
            assertFalse(splitter.hasPartialEvent());
        }
    }

    @Test
    void testPartialEventIsDetected() {
        EventSplitter splitter = new EventSplitter();

        assertTrue(splitter.take("id: 1\ndata: a\n".getBytes(StandardCharsets.UTF_8))
                .isEmpty());
        assertTrue(splitter.hasPartialEvent());
    }

    /** Blank lines outside an event; each of them counted as an event of its own. */
    @Nested
    final class BlankLines {
        private static final int LARGE_BYTES = 512 << 10;

        private final EventSplitter splitter = new EventSplitter();

        private List<String> take(String text) {
            return splitter.take(text.getBytes(StandardCharsets.UTF_8)).stream()
                    .map(event -> new String(event.bytes(), StandardCharsets.UTF_8))
                    .toList();
        }

        @Test
        void testBlankLinesBetweenEventsArePartOfTheNextOne() {
            assertEquals(List.of("id: 1\n\n", "\n\r\nid: 2\n\n"), take("id: 1\n\n\n\r\nid: 2\n\n"));
        }

        @Test
        void testAnIdBehindBlankLinesIsRead() {
            assertEquals(
                    new EventId("7"),
                    splitter.take("\n\nid: 7\n\n".getBytes(StandardCharsets.UTF_8))
                            .get(0)
                            .id());
        }

        @Test
        void testBlankLinesAtTheEndAreNoPartialEvent() {
            take("id: 1\n\n\n\n");

            assertFalse(splitter.hasPartialEvent());
            assertEquals("\n\n", new String(splitter.takeBlankLines(), StandardCharsets.UTF_8));
        }

        @Test
        void testBlankLinesWithoutEndAreNoEventsAndExceedTheLimit() {
            assertEquals(List.of(), take("\n".repeat(LARGE_BYTES)));

            assertTrue(splitter.isEventTooLarge());
        }
    }

    /** Ids out of the range of a 64-bit number were no ids, and other digits were read as different ids. */
    @ParameterizedTest
    @ValueSource(strings = {"9007199254740993", "18446744073709551616", "-9223372036854775809", "007"})
    void testAnIdOfAnySizeIsKeptAsItWasWritten(String id) {
        StreamEvent event = new EventSplitter()
                .take(("id: " + id + "\n\n").getBytes(StandardCharsets.UTF_8))
                .get(0);

        assertEquals(new EventId(id), event.id());
    }

    @ParameterizedTest
    @ValueSource(strings = {"NaN", "1.0", "1e3", "+1", "0x1", "\u0661\u0662", "1 2"})
    void testAnIdThatIsNoWholeNumberIsNone(String id) {
        StreamEvent event = new EventSplitter()
                .take(("id: " + id + "\n\n").getBytes(StandardCharsets.UTF_8))
                .get(0);

        assertNull(event.id());
    }

    @Test
    void testOnlyEventsWithoutFieldsAreComments() {
        List<StreamEvent> events =
                new EventSplitter().take(": a\n: b\n\n: c\ndata: d\n\ndata: e\n\n".getBytes(StandardCharsets.UTF_8));

        assertEquals(
                List.of(true, false, false),
                events.stream().map(StreamEvent::isComment).toList());
    }
}
