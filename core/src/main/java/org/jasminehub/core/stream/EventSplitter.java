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
 * <p>A blank line without a line before it ends no event, as the format defines; it becomes part of the next event. The
 * limit on the size of an event therefore also applies to blank lines. Not thread-safe.
 */
public final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.UTF_8);

    private static final int INITIAL_BUFFER_BYTES = 256;

    /** Events contain a few tokens; this leaves room for large ones without much memory for each stream. */
    private static final int MAX_EVENT_BYTES = 256 << 10;

    /** The bytes received so far of the current event, followed by unused space. */
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

    private int eventLength;
    private int lineStart;
    private boolean isLineBlank = true;
    private boolean hasComment;
    private boolean hasField;
    private @Nullable EventId id;

    /** Returns whether the current event is larger than any valid one, because its end may never be sent. */
    public boolean isEventTooLarge() {
        return eventLength > MAX_EVENT_BYTES;
    }

    /** Adds the next bytes and returns the events that they complete. */
    public List<StreamEvent> take(byte[] bytes) {
        List<StreamEvent> completed = new ArrayList<>();
        for (byte value : bytes) {
            append(value);
            if (value == '\n') {
                onLine(completed);
            } else if (!Character.isWhitespace(value)) {
                isLineBlank = false;
            }
        }
        return completed;
    }

    private void onLine(List<StreamEvent> completed) {
        if (!isLineBlank) {
            readLine();
            lineStart = eventLength;
            isLineBlank = true;
            return;
        }
        lineStart = eventLength;
        if (hasComment || hasField) {
            completed.add(new StreamEvent(id, !hasField, takeBytes()));
            hasComment = false;
            hasField = false;
            id = null;
        }
    }

    private void readLine() {
        if (buffer[lineStart] == ':') {
            hasComment = true;
            return;
        }
        hasField = true;
        int valueStart = lineStart + ID_FIELD.length;
        boolean isId =
                valueStart <= eventLength && Arrays.equals(buffer, lineStart, valueStart, ID_FIELD, 0, ID_FIELD.length);
        if (isId) {
            String text = new String(buffer, valueStart, eventLength - valueStart, StandardCharsets.UTF_8);
            id = EventId.parse(text.trim()).orElse(null);
        }
    }

    /** Returns whether part of an event was received but not its end. */
    public boolean hasPartialEvent() {
        return hasComment || hasField || !isLineBlank;
    }

    /** Returns and removes the blank lines that were received after the last event. */
    public byte[] takeBlankLines() {
        return hasPartialEvent() ? new byte[0] : takeBytes();
    }

    private byte[] takeBytes() {
        byte[] taken = Arrays.copyOf(buffer, eventLength);
        eventLength = 0;
        lineStart = 0;
        return taken;
    }

    private void append(byte value) {
        if (eventLength == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * eventLength);
        }
        buffer[eventLength] = value;
        eventLength++;
    }
}
