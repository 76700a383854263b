package org.jasminehub.entry.filter;

import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** The response to a caller: either a complete body or a stream of bytes. */
public sealed interface CallerResponse {
    /** Returns the HTTP status. */
    int status();

    /** Returns the value of the Content-Type header. */
    String contentType();

    /**
     * A response with a complete body.
     *
     * @param status the HTTP status
     * @param contentType the value of the Content-Type header
     * @param body the response body
     */
    record Complete(int status, String contentType, ByteString body) implements CallerResponse {}

    /**
     * A response that is relayed as it is generated. The stream fails if the response is interrupted.
     *
     * @param status the HTTP status
     * @param contentType the value of the Content-Type header
     * @param body the stream of the response body
     */
    record Streamed(int status, String contentType, Source<ByteString, NotUsed> body) implements CallerResponse {}
}
