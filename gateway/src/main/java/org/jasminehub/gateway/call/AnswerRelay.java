package org.jasminehub.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jasminehub.platform.hosted.AnswerHeaders;

/** Passes one endpoint's answer on to the caller. */
interface AnswerRelay {
    /** Takes the head. */
    void begin(HttpResponseStatus status, HttpHeaders headers, AnswerHeaders read);

    /** Takes a part of the body. */
    void part(byte[] bytes);

    /** The endpoint's answer is whole. */
    void end();
}
