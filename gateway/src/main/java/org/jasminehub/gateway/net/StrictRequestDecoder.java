package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests without hiding an ambiguous body length: Content-Length and Transfer-Encoding are both kept. */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(int headerBytes) {
        super(new HttpDecoderConfig().setMaxInitialLineLength(headerBytes).setMaxHeaderSize(headerBytes));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // The superclass would remove Content-Length; it is kept so that RequestValidator rejects the request.
    }
}
