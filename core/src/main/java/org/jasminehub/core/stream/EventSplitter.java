package org.jasminehub.core.stream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Cuts the bytes of a {@code text/event-stream} into whole events.
 *
 * <pre>{@code
 * for (StreamEvent event : splitter.take(bytes)) {
 *     relay(event);
 * }
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private static final int FIRST_BYTES = 256;

    /** The bytes of the event that has begun. */
    private byte[] event = new byte[FIRST_BYTES];

    private int eventLength;
    private int lineStart;
    private @Nullable Long id;

    /** Takes the next bytes and returns the events that they complete. */
    public List<StreamEvent> take(byte[] bytes) {
        List<StreamEvent> whole = new ArrayList<>();
        for (byte value : bytes) {
            append(value);
            if (value != '\n') {
                continue;
            }
            String text = new String(event, lineStart, eventLength - lineStart, StandardCharsets.UTF_8).stripTrailing();
            lineStart = eventLength;
            if (text.startsWith(ID_FIELD)) {
                id = number(text.substring(ID_FIELD.length()).trim());
            }
            if (text.isEmpty()) {
                whole.add(new StreamEvent(id, Arrays.copyOf(event, eventLength)));
                eventLength = 0;
                lineStart = 0;
                id = null;
            }
        }
        return whole;
    }

    /** Returns whether bytes of an event have come whose end has not. */
    public boolean isInsideEvent() {
        return eventLength > 0;
    }

    private void append(byte value) {
        if (eventLength == event.length) {
            event = Arrays.copyOf(event, 2 * eventLength);
        }
        event[eventLength] = value;
        eventLength++;
    }

    private static @Nullable Long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
