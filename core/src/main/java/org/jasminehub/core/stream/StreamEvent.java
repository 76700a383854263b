package org.jasminehub.core.stream;

import org.jspecify.annotations.Nullable;

/**
 * A complete event of a stream.
 *
 * @param id the numeric id of the event, null if it has none
 * @param bytes the event as received, including the blank line that ends it
 */
public record StreamEvent(@Nullable Long id, byte[] bytes) {}
