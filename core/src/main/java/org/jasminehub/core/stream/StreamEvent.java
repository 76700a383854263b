package org.jasminehub.core.stream;

import org.jspecify.annotations.Nullable;

/**
 * A complete event of a stream.
 *
 * @param id the numeric id of the event, null if it has none
 * @param isComment whether the event consists of comment lines and blank lines only
 * @param bytes the event as received, including the blank line that ends it and the blank lines before it
 */
public record StreamEvent(@Nullable Long id, boolean isComment, byte[] bytes) {}
