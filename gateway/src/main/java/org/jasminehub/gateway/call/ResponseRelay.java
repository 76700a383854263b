package org.jasminehub.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Relays the response of one endpoint to the caller. */
interface ResponseRelay {
    /** Called with the head of the response. */
    void begin(HttpResponseStatus status, HttpHeaders headers);

    /** Called with each part of the body. */
    void part(byte[] bytes);

    /** Called when the endpoint's response is complete. */
    void end();
}
