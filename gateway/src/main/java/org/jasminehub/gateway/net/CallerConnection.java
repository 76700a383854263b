package org.jasminehub.gateway.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.intake.MemoryAccount;
import org.jasminehub.core.serving.CallerLimits;
import org.jspecify.annotations.Nullable;

/** A caller's connection; processes one request at a time, and the next one once the response is sent. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements ResponseWriter.Connection {
    /** A caller that has just connected or received a response may have sent a request that is still in transit. */
    private static final int IDLE_CHECKS_BEFORE_CLOSE = 10;

    /** Time for a caller that sends nothing more to read the rest of the last response and to close the connection. */
    private static final long LINGER_MILLIS = 1_000;

    /**
     * Bodies of the largest size that are discarded after a refusal. A caller that sends more before it reads may lose the
     * refusal, because its connection is reset.
     */
    private static final long MAX_DISCARDED_BODIES = 8;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final CallerServer server;
    private final CallerLimits limits;
    private final MemoryAccount account;
    private final StrictRequestDecoder decoder;
    private final IncomingBody body;
    private long discardedBytes;
    private @Nullable ChannelHandlerContext connectionContext;
    private @Nullable HttpRequest head;
    private @Nullable CallerExchange exchange;
    private @Nullable ResponseWriter writer;
    private @Nullable ScheduledFuture<?> timer;
    private @Nullable ScheduledFuture<?> lingerLimitTimer;
    private int idleChecks;
    private boolean isClosing;

    CallerConnection(CallerServer server, CallerLimits limits) {
        this.server = server;
        this.limits = limits;
        this.account = server.resources().memory().open(this::evict);
        this.decoder = new StrictRequestDecoder(limits.headerBytes(), account);
        this.body = new IncomingBody(account);
    }

    /** Returns the decoder whose requests this connection processes. */
    StrictRequestDecoder decoder() {
        return decoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connectionContext = context;
        server.onOpened(context.channel());
        // The first request on a new connection must arrive within the header timeout.
        startTimer(context, limits.headerTimeoutMillis());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (!isClosing && message instanceof HttpObject part) {
                process(context, part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void process(ChannelHandlerContext context, HttpObject part) {
        if (part.decoderResult().isFailure()) {
            refuseUndecoded(context, part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpRequest request) {
            onRequestHead(context, request);
        }
        if (part instanceof HttpContent content && head != null && !isClosing) {
            onBody(context, content);
        }
    }

    private void refuseUndecoded(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof InsufficientMemoryException) {
            refuseForMemory(context);
        } else if (cause instanceof TooLongFrameException) {
            refuse(context, HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers are too large");
        } else {
            refuse(context, HttpResponseStatus.BAD_REQUEST, "the request cannot be parsed");
        }
    }

    private void onRequestHead(ChannelHandlerContext context, HttpRequest request) {
        String violation = RequestValidator.findViolation(request);
        if (violation != null) {
            refuse(context, HttpResponseStatus.BAD_REQUEST, violation);
            return;
        }
        body.begin(request);
        if (body.announcedBytes() > limits.bodyBytes()) {
            refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            return;
        }
        head = request;
        boolean isNeeded = body.isKept() || server.handler().needsBody(toCallerRequest(request, new RequestBody()));
        if (isNeeded && !body.keep()) {
            refuseForMemory(context);
            return;
        }
        if (isNeeded && HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        startTimer(context, limits.idleTimeoutMillis());
    }

    private void onBody(ChannelHandlerContext context, HttpContent content) {
        int bytes = content.content().readableBytes();
        if (body.receivedBytes() + bytes > limits.bodyBytes()) {
            refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            return;
        }
        if (account.onTransferred(bytes)) {
            server.onProgress(context.channel());
        }
        if (!body.append(content.content())) {
            refuseForMemory(context);
            return;
        }
        if (content instanceof LastHttpContent) {
            dispatch(context, false);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (head != null && !body.isKept() && !isClosing) {
            // The response does not depend on the body, so the caller gets it without sending the rest.
            decoder.discard(this::mayDiscard);
            dispatch(context, true);
        }
    }

    /** Passes the request to the handler; the connection closes after the response if part of the body is unread. */
    private void dispatch(ChannelHandlerContext context, boolean isBodyUnread) {
        HttpRequest request = head;
        if (request == null) {
            return;
        }
        head = null;
        stopTimer();
        account.setEvictable(false);
        server.onRequest(context.channel());
        ResponseWriter response = new ResponseWriter(
                context,
                this,
                account,
                isBodyUnread || !HttpUtil.isKeepAlive(request),
                // A request that was received behind this one gets its response before the connection closes.
                () -> server.isStopping() && !decoder.hasUnparsedHead());
        writer = response;
        CallerRequest callerRequest = toCallerRequest(request, body.take());
        try {
            CallerExchange started = server.handler().handle(callerRequest, response);
            if (writer == response) {
                exchange = started;
            }
        } catch (RuntimeException e) {
            server.onMalformed(HttpResponseStatus.INTERNAL_SERVER_ERROR.code(), "processing failed: " + e);
            response.fail();
        }
    }

    private static CallerRequest toCallerRequest(HttpRequest request, RequestBody body) {
        String host = request.headers().get(HttpHeaderNames.HOST);
        int port = host.lastIndexOf(':');
        return new CallerRequest(
                request.method(), request.uri(), port < 0 ? host : host.substring(0, port), request.headers(), body);
    }

    private void refuseForMemory(ChannelHandlerContext context) {
        refuse(
                context,
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                "clients hold all the memory that they may, so the request was not read");
    }

    private void refuse(ChannelHandlerContext context, HttpResponseStatus status, String reason) {
        isClosing = true;
        head = null;
        body.release();
        decoder.discard(this::mayDiscard);
        server.onMalformed(status.code(), reason);
        context.writeAndFlush(refusal(status, reason)).addListener(written -> closeAfterCaller(context));
    }

    private DefaultFullHttpResponse refusal(HttpResponseStatus status, String reason) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", server.retryAfterMillis() / MILLIS_PER_SECOND));
        }
        return response;
    }

    /** Ends the connection of a caller that has stopped sending or reading, because its memory is needed for others. */
    private void evict() {
        isClosing = true;
        body.release();
        ChannelHandlerContext context = connectionContext;
        if (context == null) {
            return;
        }
        boolean isReadingRequest = writer == null;
        head = null;
        if (!isReadingRequest) {
            context.close();
            return;
        }
        String reason = "nothing more of the request arrived while its memory was needed";
        server.onMalformed(HttpResponseStatus.REQUEST_TIMEOUT.code(), reason);
        context.writeAndFlush(refusal(HttpResponseStatus.REQUEST_TIMEOUT, reason))
                .addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public boolean isCurrent(ResponseWriter response) {
        return writer == response;
    }

    @Override
    public void onResponseSent(boolean closes) {
        ChannelHandlerContext context = connectionContext;
        if (context == null) {
            return;
        }
        idleChecks = 0;
        writer = null;
        exchange = null;
        body.release();
        account.setEvictable(true);
        server.onResponse(context.channel());
        if (closes) {
            closeAfterCaller(context);
            return;
        }
        startTimer(context, limits.idleTimeoutMillis());
        decoder.resume(context.pipeline().context(decoder));
    }

    @Override
    public void onAborted() {
        writer = null;
        exchange = null;
        isClosing = true;
    }

    /**
     * Closes the connection once the caller has closed it too. Closing it while bytes of the caller are unread would reset
     * it, and the caller would lose the part of the response that is still in transit.
     */
    private void closeAfterCaller(ChannelHandlerContext context) {
        isClosing = true;
        decoder.discard(this::mayDiscard);
        startTimer(context, LINGER_MILLIS);
        lingerLimitTimer = schedule(context, limits.idleTimeoutMillis());
        context.channel().config().setAutoRead(true);
        if (context.channel() instanceof DuplexChannel channel) {
            channel.shutdownOutput();
        }
    }

    private boolean mayDiscard(int bytes) {
        discardedBytes += bytes;
        if (lingerLimitTimer != null && connectionContext != null) {
            // Callers that send their whole body before they read get the response, too.
            startTimer(connectionContext, LINGER_MILLIS);
        }
        return discardedBytes <= MAX_DISCARDED_BODIES * limits.bodyBytes()
                && server.resources().discards().tryUse(bytes);
    }

    /** Closes the connection after {@code millis} unless the timer is stopped or restarted before. */
    private void startTimer(ChannelHandlerContext context, long millis) {
        stopTimer();
        timer = schedule(context, millis);
    }

    private static ScheduledFuture<?> schedule(ChannelHandlerContext context, long millis) {
        return context.executor().schedule(() -> context.close(), millis, TimeUnit.MILLISECONDS);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Returns whether a request has been read whose response has not been handed to the operating system yet. */
    boolean isAnswerDue() {
        return writer != null || (!isClosing && decoder.hasUnparsedHead());
    }

    /** Closes the connection unless a response is due or the caller may still be reading the last one. */
    void closeIfAnswered(Channel channel) {
        if (!isClosing && !isAnswerDue()) {
            isClosing = true;
            channel.close();
        }
    }

    /** Closes the connection if no request has been received or processed during the last few calls of this method. */
    void closeIfIdle(Channel channel) {
        idleChecks = writer == null && head == null ? idleChecks + 1 : 0;
        if (idleChecks >= IDLE_CHECKS_BEFORE_CLOSE) {
            isClosing = true;
            channel.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.onWritabilityChanged(context.channel().isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A reset is the end of the caller, which the handler is told; anything else is a fault of this process.
        if (!(cause instanceof IOException)) {
            server.onMalformed(HttpResponseStatus.INTERNAL_SERVER_ERROR.code(), "connection failed: " + cause);
        }
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.onClosed(context.channel());
        stopTimer();
        if (lingerLimitTimer != null) {
            lingerLimitTimer.cancel(false);
        }
        isClosing = true;
        body.release();
        account.close();
        CallerExchange running = exchange;
        exchange = null;
        if (running != null) {
            running.onCallerDisconnected();
        }
    }
}
