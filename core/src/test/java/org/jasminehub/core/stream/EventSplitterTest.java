package org.jasminehub.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

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
            assertEquals(1, events.get(0).id());
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
}
