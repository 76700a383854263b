package org.jasminehub.core.stream;

import org.jspecify.annotations.Nullable;

/**
 * One whole event of a stream.
 *
 * @param id its number, null where it has none
 * @param bytes the event as sent, with the blank line that ends it
 */
public record StreamEvent(@Nullable Long id, byte[] bytes) {}
