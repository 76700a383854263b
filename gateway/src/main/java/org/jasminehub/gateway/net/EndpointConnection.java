package org.jasminehub.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
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
 * <p>It is reused only after a response with an explicit end (a length or chunks) and no bytes after it. Any byte
 * that is received outside an exchange closes the connection.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    /** A response has at most a few interim responses before it; an endpoint may also send them without end. */
    private static final int MAX_INTERIM_RESPONSES = 32;

    private final StrictResponseDecoder decoder;
    private final Consumer<EndpointConnection> onReusable;
    private @Nullable Channel channel;
    private @Nullable ResponseSink sink;
    private @Nullable RequestWriter requestWriter;
    private ExchangeMonitor monitor = ExchangeMonitor.NONE;
    /** The body bytes of the current read, so that the sink gets one part however many chunks the read contains. */
    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    private int interimResponses;
    private long exchanges;
    private boolean isRequestWritten;
    private boolean isHeadSeen;
    private boolean isReusable;
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

    /** Returns whether no request was sent on the connection before the current one. */
    boolean isFirstExchange() {
        return exchanges == 1;
    }

    /** Records when the connection became idle and how long it may stay idle. */
    void markIdle(long nowMillis, long limitMillis) {
        idleSinceMillis = nowMillis;
        idleLimitMillis = limitMillis;
    }

    boolean isIdleTooLong(long nowMillis) {
        return nowMillis - idleSinceMillis >= idleLimitMillis;
    }

    /**
     * Sends {@code request}; the response is passed to {@code responseSink}.
     *
     * @param exchangeMonitor receives the heads of all responses until the next request
     */
    void send(FullHttpRequest request, ResponseSink responseSink, ExchangeMonitor exchangeMonitor) {
        Channel open = channel;
        sink = responseSink;
        monitor = exchangeMonitor;
        exchanges++;
        interimResponses = 0;
        isRequestWritten = false;
        isHeadSeen = false;
        isReusable = false;
        decoder.expectBody(!HttpMethod.HEAD.equals(request.method()));
        if (open == null || !open.isActive()) {
            request.release();
            fail(ExchangeFailure.NOT_CONNECTED);
            return;
        }
        RequestWriter writer = new RequestWriter(open, request);
        requestWriter = writer;
        writer.start().addListener(written -> {
            isRequestWritten = written.isSuccess();
            if (!written.isSuccess()) {
                fail(ExchangeFailure.CUT);
                open.close();
            }
        });
    }

    /** Cancels the exchange by closing the connection, which the endpoint can detect. */
    void cancel() {
        sink = null;
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    /** Stops or resumes reading, which applies the back pressure of a slow caller to the endpoint. */
    void setReading(boolean isReading) {
        Channel open = channel;
        if (open != null) {
            open.config().setAutoRead(isReading);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpResponse response
                    && response.decoderResult().isSuccess()) {
                monitor.onHead(response.status(), response.headers());
            }
            if (sink == null || isAwaitingRelease || !(message instanceof HttpObject object)) {
                isBroken = true;
                context.close();
                return;
            }
            if (object.decoderResult().isFailure() || interimResponses > MAX_INTERIM_RESPONSES) {
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
        ResponseSink receiver = sink;
        if (receiver == null) {
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interimResponses++;
            return;
        }
        isHeadSeen = true;
        // A response without a length or chunks ends when its connection closes, so the connection cannot be reused.
        boolean isFramed = HttpUtil.isTransferEncodingChunked(response)
                || HttpUtil.isContentLengthSet(response)
                || HttpResponseStatus.NO_CONTENT.equals(response.status())
                || HttpResponseStatus.NOT_MODIFIED.equals(response.status());
        isReusable = isFramed && HttpUtil.isKeepAlive(response);
        receiver.onHead(response.status(), response.headers());
    }

    private void onContent(ChannelHandlerContext context, HttpContent content) {
        ResponseSink receiver = sink;
        if (receiver == null || !isHeadSeen) {
            return;
        }
        if (!body.isReadable()) {
            body = Unpooled.buffer(content.content().readableBytes());
        }
        body.writeBytes(content.content());
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        deliverBody();
        if (sink == receiver && !isBroken) {
            isAwaitingRelease = true;
            receiver.onEnd();
            if (!isReusable) {
                context.close();
            }
        }
    }

    private void deliverBody() {
        ByteBuf part = body;
        body = Unpooled.EMPTY_BUFFER;
        if (part.isReadable() && sink != null) {
            sink.onBody(ByteBufUtil.getBytes(part, part.readerIndex(), part.readableBytes(), false));
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        deliverBody();
        if (!isAwaitingRelease) {
            return;
        }
        isAwaitingRelease = false;
        sink = null;
        if (isReusable
                && isRequestWritten
                && !isBroken
                && !decoder.hasUnreadBytes()
                && context.channel().isActive()) {
            context.channel().config().setAutoRead(true);
            onReusable.accept(this);
        } else {
            context.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        RequestWriter writer = requestWriter;
        if (writer != null) {
            writer.writeParts();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            // The decoder has passed on what the end completes; nothing else can be received.
            isBroken = true;
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A reset, or bytes that the decoder rejects: no later byte on this connection can be interpreted reliably.
        isBroken = true;
        fail(ExchangeFailure.CUT);
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(ExchangeFailure.CUT);
    }

    /** Ends the exchange with a failure, unless its response is complete. */
    private void fail(ExchangeFailure failure) {
        if (isAwaitingRelease) {
            return;
        }
        deliverBody();
        ResponseSink receiver = sink;
        sink = null;
        if (receiver != null) {
            receiver.onFailure(failure);
        }
    }
}
