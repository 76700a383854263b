package org.jasminehub.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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

    private final ByteArrayOutputStream event = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private @Nullable Long id;

    /** Takes the next bytes and returns the events that they complete. */
    public List<StreamEvent> take(byte[] bytes) {
        List<StreamEvent> whole = new ArrayList<>();
        for (byte value : bytes) {
            event.write(value);
            if (value != '\n') {
                line.write(value);
                continue;
            }
            String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
            line.reset();
            if (text.startsWith(ID_FIELD)) {
                id = number(text.substring(ID_FIELD.length()).trim());
            }
            if (text.isEmpty()) {
                whole.add(new StreamEvent(id, event.toByteArray()));
                event.reset();
                id = null;
            }
        }
        return whole;
    }

    /** Returns whether bytes of an event have come whose end has not. */
    public boolean isInsideEvent() {
        return event.size() > 0;
    }

    private static @Nullable Long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
