package org.jasminehub.core.stream;

import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * A complete event of a stream.
 *
 * @param id the numeric id of the event, null if it has none
 * @param bytes the event as received, including the blank line that ends it
 */
public record StreamEvent(@Nullable Long id, byte[] bytes) {
    /** Returns whether the event consists of comment lines and blank lines only. */
    public boolean isComment() {
        return new String(bytes, StandardCharsets.UTF_8)
                .lines()
                .allMatch(line -> line.isEmpty() || line.startsWith(":"));
    }
}
