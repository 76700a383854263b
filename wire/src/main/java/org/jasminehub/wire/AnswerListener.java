package org.jasminehub.wire;

import org.jasminehub.wire.generated.AnswerChunk;
import org.jasminehub.wire.generated.AnswerEnd;
import org.jasminehub.wire.generated.AnswerHead;
import org.jasminehub.wire.generated.AnswerRefused;

/** Hears the answer of an outgoing call; called on a thread of the transport, must not block. */
public interface AnswerListener {
    /** The answer begins. */
    void onHead(AnswerHead head);

    /** The next chunk arrived. */
    void onChunk(AnswerChunk chunk);

    /** The answer is whole. */
    void onEnd(AnswerEnd end);

    /** The peer ended the call without a whole answer. */
    void onRefused(AnswerRefused refusal);

    /** The connection failed; {@code sent} tells whether the call may have reached the peer. */
    void onLost(boolean sent);
}
