package org.jasminehub.wire;

import com.google.protobuf.ByteString;
import java.util.List;
import org.jasminehub.wire.generated.AnswerRefused;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.Header;

/**
 * A call that a peer sent to this process.
 *
 * <p>The response consists of a head, any number of chunks and an end; a refusal ends it at any point before that.
 * Chunks may be sent only against credit: {@code start().getInitialCredit()} plus what {@link CallListener#onCredit}
 * adds. Messages sent after the call ended are dropped. Thread-safe; chunks are sent in the order in
 * which {@link #chunk} is called.
 */
public interface IncomingCall {
    /** Returns the message that started the call. */
    CallStart start();

    /**
     * Sets the listener for credit and cancellation, which is notified at once if the call was already cancelled; called
     * once, before the response starts.
     */
    void setListener(CallListener listener);

    /** Sends the status and headers of the response. */
    void head(int status, List<Header> headers);

    /** Sends the next chunk of the response. */
    void chunk(ByteString data);

    /** Ends the call after the complete response was sent. */
    void end();

    /** Ends the call without a complete response; the transport sets the call's id in {@code refusal}. */
    void refuse(AnswerRefused.Builder refusal);
}
