package org.jasminehub.core.stream;

import org.jspecify.annotations.Nullable;

/**
 * A complete event of a stream.
 *
 * @param id the id of the event, null if it has none that is a whole number
 * @param isComment whether the event consists of comment lines and blank lines only
 * @param bytes the event as received, including the blank line that ends it and the blank lines before it
 */
public record StreamEvent(@Nullable EventId id, boolean isComment, byte[] bytes) {}
