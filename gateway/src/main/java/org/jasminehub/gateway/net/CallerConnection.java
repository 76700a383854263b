package org.jasminehub.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.serving.CallerLimits;
import org.jspecify.annotations.Nullable;

/** A caller's connection; processes one request at a time, and the next one once the response is sent. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Maximum number of parsed parts of later requests; above it, reading from the connection stops. */
    private static final int MAX_PENDING_PARTS = 64;

    /** A caller that has just connected or received a response may have sent a request that is still in transit. */
    private static final int IDLE_CHECKS_BEFORE_CLOSE = 10;

    /** Time for a caller to read the rest of the last response and to close the connection. */
    private static final long LINGER_MILLIS = 1_000;

    private static final byte[] FAILED_BODY = "internal error\n".getBytes(StandardCharsets.UTF_8);

    private final CallerServer server;
    private final CallerLimits limits;
    private final Deque<HttpObject> pendingParts = new ArrayDeque<>();
    private @Nullable HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private @Nullable CallerExchange exchange;
    private @Nullable ResponseWriter writer;
    private @Nullable ScheduledFuture<?> timer;
    private int idleChecks;
    private boolean isClosing;

    CallerConnection(CallerServer server, CallerLimits limits) {
        this.server = server;
        this.limits = limits;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        server.onOpened(context.channel());
        // The first request on a new connection must arrive within the header timeout.
        startTimer(context, limits.headerTimeoutMillis());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (isClosing || !(message instanceof HttpObject part)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (writer != null) {
            pendingParts.add(part);
            if (pendingParts.size() > MAX_PENDING_PARTS) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        process(context, part);
    }

    private void process(ChannelHandlerContext context, HttpObject part) {
        try {
            if (part.decoderResult().isFailure()) {
                boolean isTooLong = part.decoderResult().cause() instanceof TooLongFrameException;
                refuse(
                        context,
                        isTooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
                        isTooLong ? "the headers are too large" : "the request cannot be parsed");
                return;
            }
            if (part instanceof HttpRequest request) {
                onRequestHead(context, request);
            }
            if (part instanceof HttpContent content && head != null && !isClosing) {
                onBody(context, content);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void onRequestHead(ChannelHandlerContext context, HttpRequest request) {
        String violation = RequestValidator.findViolation(request);
        if (violation != null) {
            refuse(context, HttpResponseStatus.BAD_REQUEST, violation);
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes()) {
            refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            return;
        }
        head = request;
        body = Unpooled.buffer();
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        startTimer(context, limits.idleTimeoutMillis());
    }

    private void onBody(ChannelHandlerContext context, HttpContent content) {
        if (body.readableBytes() + content.content().readableBytes() > limits.bodyBytes()) {
            refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            return;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            dispatch(context);
        }
    }

    private void dispatch(ChannelHandlerContext context) {
        HttpRequest request = head;
        if (request == null) {
            return;
        }
        head = null;
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        stopTimer();
        ResponseWriter response = new ResponseWriter(context, !HttpUtil.isKeepAlive(request));
        writer = response;
        String host = request.headers().get(HttpHeaderNames.HOST);
        int port = host.lastIndexOf(':');
        CallerRequest callerRequest = new CallerRequest(
                request.method(), request.uri(), port < 0 ? host : host.substring(0, port), request.headers(), bytes);
        try {
            CallerExchange started = server.handler().handle(callerRequest, response);
            if (writer == response) {
                exchange = started;
            }
        } catch (RuntimeException e) {
            response.fail(e);
        }
    }

    private void refuse(ChannelHandlerContext context, HttpResponseStatus status, String reason) {
        isClosing = true;
        stopTimer();
        server.onMalformed(status.code(), reason);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(written -> closeAfterCaller(context));
    }

    private void onResponseSent(ChannelHandlerContext context, boolean closes) {
        idleChecks = 0;
        writer = null;
        exchange = null;
        if (closes) {
            closeAfterCaller(context);
            return;
        }
        startTimer(context, limits.idleTimeoutMillis());
        while (writer == null && !isClosing && !pendingParts.isEmpty()) {
            process(context, pendingParts.remove());
        }
        context.channel().config().setAutoRead(true);
    }

    /**
     * Closes the connection once the caller has closed it too. Closing it while bytes of the caller are unread would reset
     * it, and the caller would lose the part of the response that is still in transit.
     */
    private void closeAfterCaller(ChannelHandlerContext context) {
        isClosing = true;
        startTimer(context, LINGER_MILLIS);
        context.channel().config().setAutoRead(true);
        if (context.channel() instanceof DuplexChannel channel) {
            channel.shutdownOutput();
        }
    }

    /** Closes the connection after {@code millis} unless the timer is stopped or restarted before. */
    private void startTimer(ChannelHandlerContext context, long millis) {
        stopTimer();
        timer = context.executor().schedule(() -> context.close(), millis, TimeUnit.MILLISECONDS);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Returns whether a request has been read whose response has not been handed to the operating system yet. */
    boolean isAnswerDue() {
        return writer != null || (!isClosing && !pendingParts.isEmpty());
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
        isClosing = true;
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        pendingParts.forEach(ReferenceCountUtil::release);
        pendingParts.clear();
        CallerExchange running = exchange;
        exchange = null;
        if (running != null) {
            running.onCallerDisconnected();
        }
    }

    /** Writes the response to the current request. */
    private final class ResponseWriter implements CallerResponse {
        private final ChannelHandlerContext context;
        private boolean closes;
        private boolean isBegun;

        ResponseWriter(ChannelHandlerContext context, boolean closes) {
            this.context = context;
            this.closes = closes;
        }

        @Override
        public void complete(HttpResponseStatus status, HttpHeaders headers, byte[] bytes) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes), headers, EmptyHttpHeaders.INSTANCE);
            if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                HttpUtil.setContentLength(response, bytes.length);
            }
            markClose(headers);
            finish(response);
        }

        /** Reports that the handler threw, and responds unless it has begun a response. */
        void fail(RuntimeException cause) {
            server.onMalformed(HttpResponseStatus.INTERNAL_SERVER_ERROR.code(), "processing failed: " + cause);
            if (!isBegun) {
                // The handler may still use this response, so no other one may follow on the connection.
                closes = true;
                complete(HttpResponseStatus.INTERNAL_SERVER_ERROR, new DefaultHttpHeaders(), FAILED_BODY);
            }
        }

        @Override
        public void begin(HttpResponseStatus status, HttpHeaders headers, long bodyLength) {
            markClose(headers);
            StreamedResponses.begin(context, status, headers, bodyLength, closes);
        }

        @Override
        public void part(byte[] bytes) {
            StreamedResponses.part(context, bytes);
        }

        @Override
        public void end() {
            finish(LastHttpContent.EMPTY_LAST_CONTENT);
        }

        /** Only the head can announce the close; without the announcement the caller may have sent its next request. */
        private void markClose(HttpHeaders headers) {
            isBegun = true;
            // A request that has been read behind this one gets its response before the connection closes.
            closes |= server.isStopping() && pendingParts.isEmpty();
            if (closes) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        private void finish(Object last) {
            if (writer != this) {
                ReferenceCountUtil.release(last);
                return;
            }
            context.writeAndFlush(last)
                    .addListener(written -> context.executor().execute(() -> {
                        if (writer == this) {
                            onResponseSent(context, closes);
                        }
                    }));
        }

        @Override
        public void abort() {
            if (writer == this) {
                writer = null;
                exchange = null;
                isClosing = true;
                context.close();
            }
        }

        @Override
        public boolean isWritable() {
            return context.channel().isWritable();
        }
    }
}
