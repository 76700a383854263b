package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Writes the response to a caller's request. */
public interface CallerResponse {
    /** Stands for the length of a body that is not known when the head is sent. */
    long UNKNOWN_LENGTH = -1;

    /** Sends a complete response. */
    void complete(HttpResponseStatus status, HttpHeaders headers, byte[] body);

    /** Sends the status and the headers of a response whose body follows in parts. */
    void begin(HttpResponseStatus status, HttpHeaders headers, long bodyLength);

    /** Sends a part of the body. */
    void part(byte[] bytes);

    /** Ends the body. */
    void end();

    /** Closes the connection, so that the caller detects that the response is incomplete. */
    void abort();

    /** Returns whether bytes can be written without being queued because the caller reads too slowly. */
    boolean isWritable();
}
