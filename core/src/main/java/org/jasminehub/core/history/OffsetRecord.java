package org.jasminehub.core.history;

/**
 * A record read from the log.
 *
 * @param offset the position in the log
 * @param payload the content; the array is not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record OffsetRecord(long offset, byte[] payload) {}
