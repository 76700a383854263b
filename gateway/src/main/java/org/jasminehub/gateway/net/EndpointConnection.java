package org.jasminehub.gateway.net;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * One connection to an endpoint or to the store, with one exchange at a time.
 *
 * <p>It is given back for another exchange only after an answer whose end was framed, with nothing behind it; any byte
 * that arrives unasked closes it.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private final StrictResponseDecoder decoder;
    private final Consumer<EndpointConnection> onReusable;
    private @Nullable Channel channel;
    private @Nullable AnswerSink sink;
    private boolean isRequestWritten;
    private boolean isHeadSeen;
    private boolean isKept;
    private boolean isBroken;
    private boolean isAwaitingRelease;
    private long idleSinceMillis;
    private long idleLimitMillis;

    EndpointConnection(StrictResponseDecoder decoder, Consumer<EndpointConnection> onReusable) {
        this.decoder = decoder;
        this.onReusable = onReusable;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    boolean isOpen() {
        Channel open = channel;
        return open != null && open.isActive();
    }

    /** Notes since when the connection is idle and how long it may stay so. */
    void markIdle(long nowMillis, long limitMillis) {
        idleSinceMillis = nowMillis;
        idleLimitMillis = limitMillis;
    }

    boolean isIdleTooLong(long nowMillis) {
        return nowMillis - idleSinceMillis >= idleLimitMillis;
    }

    /** Sends {@code request}; the answer goes to {@code answer}. */
    void send(FullHttpRequest request, AnswerSink answer) {
        Channel open = channel;
        sink = answer;
        isRequestWritten = false;
        isHeadSeen = false;
        isKept = false;
        decoder.expectBody(!HttpMethod.HEAD.equals(request.method()));
        if (open == null || !open.isActive()) {
            request.release();
            fail(ExchangeFailure.NOT_CONNECTED);
            return;
        }
        open.writeAndFlush(request).addListener(written -> {
            isRequestWritten = written.isSuccess();
            if (!written.isSuccess()) {
                fail(ExchangeFailure.CUT);
                open.close();
            }
        });
    }

    /** Ends the exchange at once; the endpoint sees its connection close. */
    void cancel() {
        sink = null;
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    /** Stops or resumes reading, so that a slow caller slows the endpoint down. */
    void setReading(boolean isReading) {
        Channel open = channel;
        if (open != null) {
            open.config().setAutoRead(isReading);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (sink == null || isAwaitingRelease || !(message instanceof HttpObject object)) {
                isBroken = true;
                context.close();
                return;
            }
            if (object.decoderResult().isFailure()) {
                isBroken = true;
                fail(ExchangeFailure.MALFORMED);
                context.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                onHead(response);
            }
            if (message instanceof HttpContent content) {
                onContent(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpResponse response) {
        AnswerSink taker = sink;
        if (taker == null || response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        isHeadSeen = true;
        // Without a length the answer ends with its connection, which cannot be used again.
        boolean isFramed = HttpUtil.isTransferEncodingChunked(response)
                || HttpUtil.isContentLengthSet(response)
                || HttpResponseStatus.NO_CONTENT.equals(response.status())
                || HttpResponseStatus.NOT_MODIFIED.equals(response.status());
        isKept = isFramed && HttpUtil.isKeepAlive(response);
        taker.onHead(response.status(), response.headers());
    }

    private void onContent(ChannelHandlerContext context, HttpContent content) {
        AnswerSink taker = sink;
        if (taker == null || !isHeadSeen) {
            return;
        }
        if (content.content().isReadable()) {
            taker.onBody(ByteBufUtil.getBytes(content.content()));
        }
        if (content instanceof LastHttpContent && sink == taker && !isBroken) {
            isAwaitingRelease = true;
            taker.onEnd();
            if (!isKept) {
                context.close();
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!isAwaitingRelease) {
            return;
        }
        isAwaitingRelease = false;
        sink = null;
        if (isKept
                && isRequestWritten
                && !isBroken
                && !decoder.hasLeftover()
                && context.channel().isActive()) {
            context.channel().config().setAutoRead(true);
            onReusable.accept(this);
        } else {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A reset, or bytes that the decoder refuses; either way no later byte can be trusted.
        isBroken = true;
        fail(ExchangeFailure.CUT);
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!isAwaitingRelease) {
            fail(ExchangeFailure.CUT);
        }
    }

    private void fail(ExchangeFailure failure) {
        AnswerSink taker = sink;
        sink = null;
        if (taker != null) {
            taker.onFailure(failure);
        }
    }
}
