package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Trailers of a request body, which are not forwarded; a client may send thousands of them. */
final class DiscardedTrailers extends DefaultHttpHeaders {
    /** Creates trailers that stay empty. */
    static final HttpHeadersFactory FACTORY = new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
            return new DiscardedTrailers();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new DiscardedTrailers();
        }
    };

    private DiscardedTrailers() {
        super(false);
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        return this;
    }
}
