package org.jasminehub.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Decodes responses.
 *
 * <p>A response with neither a length nor chunks ends where its sender ends the connection, and only if that end was
 * read. The channel must have {@link io.netty.channel.ChannelOption#ALLOW_HALF_CLOSURE} set, which reports such an end
 * as an event. Without the event, a closed channel leaves the response unfinished: it was reset, a write failed, or this
 * process closed it.
 *
 * <p>Reports whether bytes were received after a complete response, and expects no body in a response to HEAD.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private boolean isBodyForbidden;
    private boolean isFailed;
    private boolean isEndRead;

    void expectBody(boolean isExpected) {
        isBodyForbidden = !isExpected;
    }

    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Netty reports the end of the input after a failed read, too.
        isFailed = true;
        context.fireExceptionCaught(cause);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        isEndRead = event instanceof ChannelInputShutdownEvent && !isFailed;
        super.userEventTriggered(context, event);
        isEndRead = false;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        // The superclass takes every close of the channel for the end of a response without a length.
        if (isEndRead) {
            super.decodeLast(context, buffer, out);
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isBodyForbidden || super.isContentAlwaysEmpty(message);
    }
}
