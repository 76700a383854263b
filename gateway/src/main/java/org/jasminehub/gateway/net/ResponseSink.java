package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Receives an endpoint's response as it arrives.
 *
 * <p>The calls are one head, any number of body parts and one end. A failure may replace any of them and ends the
 * sequence.
 */
public interface ResponseSink {
    /** Called with the status and the headers. */
    void onHead(HttpResponseStatus status, HttpHeaders headers);

    /** Called with each part of the body, once for each read from the connection. */
    void onBody(byte[] part);

    /** Called when the response is complete. */
    void onEnd();

    /** Called when the exchange has failed and the response stays incomplete. */
    void onFailure(ExchangeFailure failure);
}
