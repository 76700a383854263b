package org.jasminehub.entry.relay;

import com.google.protobuf.ByteString;
import org.jasminehub.core.error.RequestException;

/** An element of a response after its head. The last element of a response is an {@link End} or a {@link Failed}. */
sealed interface ResponseSignal {
    /** The next chunk of the response. */
    record Chunk(ByteString data) implements ResponseSignal {}

    /** The response is complete. */
    record End() implements ResponseSignal {}

    /** The response ended before it was complete. */
    record Failed(RequestException failure) implements ResponseSignal {}
}
