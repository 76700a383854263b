package org.jasminehub.agent.engine;

import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;

/**
 * Fails an event stream with a line that has no end.
 *
 * <p>Pekko's parser checks its limit on the length of a line only once the line has ended. Until then it keeps all bytes
 * and searches them again with each read.
 */
final class LineLimit {
    /** Above Pekko's limit of 4 KiB, which therefore still decides on lines that have ended. */
    private static final int MAX_LINE_BYTES = 16 << 10;

    private int lineBytes;

    /** Returns {@code entity} with the limit. */
    HttpEntity applyTo(ResponseEntity entity) {
        return HttpEntities.createCloseDelimited(
                entity.getContentType(), entity.getDataBytes().map(this::check));
    }

    private ByteString check(ByteString bytes) {
        for (byte value : bytes.toArrayUnsafe()) {
            lineBytes = value == '\n' || value == '\r' ? 0 : lineBytes + 1;
        }
        if (lineBytes > MAX_LINE_BYTES) {
            throw new LineTooLongException(lineBytes);
        }
        return bytes;
    }

    /** The reason why a stream is failed. */
    private static final class LineTooLongException extends JasminehubException {
        private static final long serialVersionUID = 1L;

        LineTooLongException(int bytes) {
            super(
                    ErrorCode.PROTOCOL_VIOLATION,
                    "a line of the event stream has no end after " + bytes + " bytes",
                    null);
        }
    }
}
