package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Writes the one answer to a caller's request. */
public interface CallerAnswer {
    /** The length of a body whose end is not known when its head is sent. */
    long UNKNOWN_LENGTH = -1;

    /** Sends a whole answer. */
    void whole(HttpResponseStatus status, HttpHeaders headers, byte[] body);

    /** Sends the head of an answer whose body follows. */
    void begin(HttpResponseStatus status, HttpHeaders headers, long bodyLength);

    /** Sends a part of the body. */
    void part(byte[] bytes);

    /** Ends the body. */
    void end();

    /** Closes the connection, so that the caller sees that the answer is not whole. */
    void abort();

    /** Returns whether the caller takes bytes as fast as they come. */
    boolean isWritable();
}
