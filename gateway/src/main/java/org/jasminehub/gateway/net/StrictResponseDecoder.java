package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes responses.
 *
 * <p>Reports whether bytes were received after a complete response, and expects no body in a response to HEAD.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private boolean isBodyForbidden;

    void expectBody(boolean isExpected) {
        isBodyForbidden = !isExpected;
    }

    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isBodyForbidden || super.isContentAlwaysEmpty(message);
    }
}
