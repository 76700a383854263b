package org.jasminehub.core.stream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Splits the bytes of a {@code text/event-stream} into complete events.
 *
 * <pre>{@code
 * for (StreamEvent event : splitter.take(bytes)) {
 *     relay(event);
 * }
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private static final int INITIAL_BUFFER_BYTES = 256;

    /** Events contain a few tokens; this leaves room for large ones without much memory for each stream. */
    private static final int MAX_EVENT_BYTES = 256 << 10;

    /** The bytes received so far of the current event, followed by unused space. */
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

    private int eventLength;
    private int lineStart;
    private @Nullable Long id;

    /** Returns whether the current event is larger than any valid one, because its end may never be sent. */
    public boolean isEventTooLarge() {
        return eventLength > MAX_EVENT_BYTES;
    }

    /** Adds the next bytes and returns the events that they complete. */
    public List<StreamEvent> take(byte[] bytes) {
        List<StreamEvent> completed = new ArrayList<>();
        for (byte value : bytes) {
            append(value);
            if (value != '\n') {
                continue;
            }
            String line =
                    new String(buffer, lineStart, eventLength - lineStart, StandardCharsets.UTF_8).stripTrailing();
            lineStart = eventLength;
            if (line.startsWith(ID_FIELD)) {
                id = parseId(line.substring(ID_FIELD.length()).trim());
            }
            if (line.isEmpty()) {
                completed.add(new StreamEvent(id, Arrays.copyOf(buffer, eventLength)));
                eventLength = 0;
                lineStart = 0;
                id = null;
            }
        }
        return completed;
    }

    /** Returns whether part of an event was received but not its end. */
    public boolean hasPartialEvent() {
        return eventLength > 0;
    }

    private void append(byte value) {
        if (eventLength == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * eventLength);
        }
        buffer[eventLength] = value;
        eventLength++;
    }

    private static @Nullable Long parseId(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
