package org.jasminehub.wire;

import com.google.protobuf.ByteString;
import java.util.List;
import org.jasminehub.wire.generated.AnswerRefused;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.Header;

/**
 * A call that a peer asked this process to run.
 *
 * <p>The answer is a head, chunks and an end, or one refusal in place of what is still missing. Chunks may be sent only
 * against credit: {@code start().getInitialCredit()} and what {@link CallListener#onCredit} adds. What is sent after the
 * call ended is dropped. Safe for use by several threads, though the order of chunks is the order of the calls.
 */
public interface IncomingCall {
    /** Returns what the peer asked for. */
    CallStart start();

    /** Sets who is told of credit and cancellation; called once, before the answer starts. */
    void listen(CallListener listener);

    /** Sends the head of the answer. */
    void head(int status, List<Header> headers);

    /** Sends the next chunk of the answer. */
    void chunk(ByteString data);

    /** Ends a whole answer. */
    void end();

    /** Ends the call without a whole answer; the call's id is filled in. */
    void refuse(AnswerRefused.Builder refusal);
}
