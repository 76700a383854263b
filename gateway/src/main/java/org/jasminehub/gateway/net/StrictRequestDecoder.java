package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and keeps both framing headers where a request has both, so that it can be refused. */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(int headerBytes) {
        super(new HttpDecoderConfig().setMaxInitialLineLength(headerBytes).setMaxHeaderSize(headerBytes));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // The decoder would drop the length; it stays, and RequestCheck refuses the request.
    }
}
