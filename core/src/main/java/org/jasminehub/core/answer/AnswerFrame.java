package org.jasminehub.core.answer;

import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.internal.Checks;

/** A part of an answer as one attempt of a request sends it. */
public sealed interface AnswerFrame {
    /** Returns the request that it answers. */
    RequestId requestId();

    /** Returns the attempt that sent it, counted from 1. */
    int attempt();

    /**
     * One event of a stream or one piece of a whole answer.
     *
     * @param sequence its place in the attempt, counted from 0 without gaps
     * @param data its bytes, not copied
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Chunk(RequestId requestId, int attempt, long sequence, byte[] data) implements AnswerFrame {
        /** Creates a checked chunk. */
        public Chunk {
            Checks.notNegative("sequence", sequence);
        }
    }

    /**
     * Says that the attempt's answer is whole.
     *
     * @param chunkCount how many chunks the attempt sent
     */
    record End(RequestId requestId, int attempt, long chunkCount) implements AnswerFrame {
        /** Creates a checked end. */
        public End {
            Checks.notNegative("chunkCount", chunkCount);
        }
    }
}
