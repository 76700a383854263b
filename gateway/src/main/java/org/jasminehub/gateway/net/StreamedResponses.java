package org.jasminehub.gateway.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Writes the head and the body parts of a response that is sent in parts. */
final class StreamedResponses {
    private StreamedResponses() {}

    static void begin(
            ChannelHandlerContext context,
            HttpResponseStatus status,
            HttpHeaders headers,
            long bodyLength,
            boolean closes) {
        if (bodyLength == CallerResponse.UNKNOWN_LENGTH) {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, bodyLength);
        }
        if (closes) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
    }

    static ChannelFuture part(ChannelHandlerContext context, byte[] bytes) {
        return context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }
}
