package org.jasminehub.entry.relay;

import com.google.protobuf.ByteString;
import org.jasminehub.core.error.RequestException;

/** What an attempt gives after its head, in order; the last is an end or a failure. */
sealed interface AnswerSignal {
    /** The next chunk of the answer. */
    record Chunk(ByteString data) implements AnswerSignal {}

    /** The answer is whole. */
    record End() implements AnswerSignal {}

    /** The answer ended early. */
    record Failed(RequestException failure) implements AnswerSignal {}
}
