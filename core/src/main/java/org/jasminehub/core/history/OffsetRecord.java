package org.jasminehub.core.history;

/**
 * A record of the log as it was read.
 *
 * @param offset its place
 * @param payload its bytes, not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record OffsetRecord(long offset, byte[] payload) {}
