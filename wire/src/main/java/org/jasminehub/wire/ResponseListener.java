package org.jasminehub.wire;

import org.jasminehub.wire.generated.AnswerChunk;
import org.jasminehub.wire.generated.AnswerEnd;
import org.jasminehub.wire.generated.AnswerHead;
import org.jasminehub.wire.generated.AnswerRefused;

/** Receives the response to an outgoing call; called on an I/O thread, must not block. */
public interface ResponseListener {
    /** Called with the status and headers of the response. */
    void onHead(AnswerHead head);

    /** Called with each chunk, in order. */
    void onChunk(AnswerChunk chunk);

    /** Called when the response is complete. */
    void onEnd(AnswerEnd end);

    /** Called when the peer ended the call without a complete response. */
    void onRefused(AnswerRefused refusal);

    /** Called when the connection failed; {@code sent} states whether the call may have reached the peer. */
    void onConnectionLost(boolean sent);
}
