package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Takes an endpoint's answer as it arrives: one head, any number of parts, then an end or a failure. */
public interface AnswerSink {
    /** Takes the head. */
    void onHead(HttpResponseStatus status, HttpHeaders headers);

    /** Takes a part of the body. */
    void onBody(byte[] part);

    /** The answer is whole. */
    void onEnd();

    /** The answer stays incomplete; nothing follows. */
    void onFailure(ExchangeFailure failure);
}
