package org.jasminehub.gateway.net;

import io.netty.buffer.ByteBuf;

/**
 * Finds lines of a response that begin with a blank, and empty lines before its status line.
 *
 * <p>A line that begins with a blank continues the field before it, or its field has a name that begins with a blank.
 * RFC 9112, section 5.2, lets a gateway reject both.
 */
final class LineStartScanner {
    private boolean isStatusLine = true;
    private boolean isLineStart = true;
    private boolean isValid = true;

    /** Prepares for the next response. */
    void reset() {
        isStatusLine = true;
        isLineStart = true;
        isValid = true;
    }

    /** Called for content, which consists of no lines and may hold any byte. */
    void onContent() {
        isLineStart = true;
    }

    /** Scans the bytes of {@code buffer} from {@code start} to {@code end}, the next ones outside of content. */
    void scan(ByteBuf buffer, int start, int end) {
        if (isValid && end > start) {
            isValid = buffer.forEachByte(start, end - start, this::isValidNext) < 0;
        }
    }

    /** Returns whether all lines of the response may begin as they do. */
    boolean isValid() {
        return isValid;
    }

    private boolean isValidNext(byte value) {
        boolean isBlank = value == ' ' || value == '\t';
        boolean isEmptyLine = value == '\r' || value == '\n';
        boolean isInvalid = isLineStart && (isBlank || (isEmptyLine && isStatusLine));
        isLineStart = value == '\n';
        isStatusLine &= !isLineStart;
        return !isInvalid;
    }
}
