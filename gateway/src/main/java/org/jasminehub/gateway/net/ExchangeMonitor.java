package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Follows the exchanges with one endpoint independently of the calls that they belong to.
 *
 * <p>Used on the event loop of the client only.
 */
public interface ExchangeMonitor {
    /** A monitor that allows every request and ignores all responses. */
    ExchangeMonitor NONE = new ExchangeMonitor() {
        @Override
        public boolean maySend() {
            return true;
        }

        @Override
        public void onHead(HttpResponseStatus status, HttpHeaders headers) {
            // Nothing depends on these responses.
        }
    };

    /** Returns whether the request may still be sent; called right before it is written to the connection. */
    boolean maySend();

    /**
     * Called with the head of each response before the response is processed, also for responses that are discarded
     * because no request is waiting for them.
     */
    void onHead(HttpResponseStatus status, HttpHeaders headers);
}
