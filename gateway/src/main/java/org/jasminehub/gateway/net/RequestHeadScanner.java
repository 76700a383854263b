package org.jasminehub.gateway.net;

import io.netty.buffer.ByteBuf;

/** Finds the end of a request head before it is parsed, and what the parsed head will occupy. */
final class RequestHeadScanner {
    /**
     * Bytes that a parsed header field occupies beside its text: an entry of the table, two strings with their arrays and
     * their decoded forms (docs/CAPACITY.md). A client needs only five bytes to send a field.
     */
    static final int FIELD_BYTES = 256;

    /** Copies of the text of a head: the parsed fields and the request that is sent on. */
    private static final int TEXT_COPIES = 2;

    private int scannedBytes;
    private int lines;
    private boolean isLineEmpty;
    private boolean isComplete;

    /** Prepares for the next head. */
    void reset() {
        scannedBytes = 0;
        lines = 0;
        // Line ends before a request line are skipped, so the first line is not the empty line that ends a head.
        isLineEmpty = false;
        isComplete = false;
    }

    /**
     * Scans the bytes that were not scanned before.
     *
     * @param buffer all bytes since the beginning of the head
     * @return whether {@code buffer} contains the end of the head
     */
    boolean scan(ByteBuf buffer) {
        int unscannedBytes = buffer.readableBytes() - scannedBytes;
        if (!isComplete && unscannedBytes > 0) {
            int end = buffer.forEachByte(buffer.readerIndex() + scannedBytes, unscannedBytes, this::isBeforeEnd);
            isComplete = end >= 0;
            scannedBytes = isComplete ? end + 1 - buffer.readerIndex() : buffer.readableBytes();
        }
        return isComplete;
    }

    private boolean isBeforeEnd(byte value) {
        if (value == '\n') {
            if (isLineEmpty) {
                return false;
            }
            lines++;
            isLineEmpty = true;
        } else if (value != '\r') {
            isLineEmpty = false;
        }
        return true;
    }

    /** Returns the bytes that the scanned part of the head occupies once it is parsed. */
    long parsedBytes() {
        return (long) lines * FIELD_BYTES + (long) TEXT_COPIES * scannedBytes;
    }

    /** Skips what may stand before a request line. */
    static void skipBlank(ByteBuf buffer) {
        int start = buffer.forEachByte(value -> value >= 0 && value <= ' ');
        buffer.readerIndex(start < 0 ? buffer.writerIndex() : start);
    }
}
