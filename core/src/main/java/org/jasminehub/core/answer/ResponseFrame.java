package org.jasminehub.core.answer;

import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.internal.Checks;

/** A frame of the response to a request, as sent by one of its attempts. */
public sealed interface ResponseFrame {
    /** Returns the id of the request. */
    RequestId requestId();

    /** Returns the number of the attempt that sent the frame, counted from 1. */
    int attempt();

    /**
     * One event of a stream, or one chunk of a response that is not a stream.
     *
     * @param sequence the position in the attempt, counted from 0 without gaps
     * @param data the content; the array is not copied
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Chunk(RequestId requestId, int attempt, long sequence, byte[] data) implements ResponseFrame {
        /** Validates the sequence number. */
        public Chunk {
            Checks.notNegative("sequence", sequence);
        }
    }

    /**
     * Marks the response of the attempt as complete.
     *
     * @param chunkCount the number of chunks that the attempt sent
     */
    record End(RequestId requestId, int attempt, long chunkCount) implements ResponseFrame {
        /** Validates the chunk count. */
        public End {
            Checks.notNegative("chunkCount", chunkCount);
        }
    }
}
