package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers; tells whether bytes are left behind a whole one, and knows that answers to HEAD have no body. */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private boolean isBodyForbidden;

    void expectBody(boolean isExpected) {
        isBodyForbidden = !isExpected;
    }

    boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isBodyForbidden || super.isContentAlwaysEmpty(message);
    }
}
