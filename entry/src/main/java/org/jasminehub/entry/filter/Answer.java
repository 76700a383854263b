package org.jasminehub.entry.filter;

import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** What a caller gets: a whole body, or a stream of bytes in the form that the caller reads. */
public sealed interface Answer {
    /** Returns the HTTP status. */
    int status();

    /** Returns the value of the Content-Type header. */
    String contentType();

    /**
     * An answer whose whole body is at hand.
     *
     * @param status the HTTP status
     * @param contentType the value of the Content-Type header
     * @param body the body
     */
    record Whole(int status, String contentType, ByteString body) implements Answer {}

    /**
     * An answer that is relayed as it is generated; the stream fails where the answer was cut.
     *
     * @param status the HTTP status
     * @param contentType the value of the Content-Type header
     * @param body the bytes
     */
    record Streamed(int status, String contentType, Source<ByteString, NotUsed> body) implements Answer {}
}
