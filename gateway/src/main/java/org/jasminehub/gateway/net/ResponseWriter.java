package org.jasminehub.gateway.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.jasminehub.core.intake.MemoryAccount;

/** Writes the response to one request of a caller and reserves the memory of what the caller has not read yet. */
final class ResponseWriter implements CallerResponse {
    private static final byte[] FAILED_BODY = "internal error\n".getBytes(StandardCharsets.UTF_8);

    /** The connection that the response is written to. */
    interface Connection {
        /** Returns whether {@code writer} may still write. */
        boolean isCurrent(ResponseWriter writer);

        /** Called when the response has been handed to the operating system. */
        void onResponseSent(boolean closes);

        /** Called before the connection is closed without a complete response. */
        void onAborted();
    }

    private final ChannelHandlerContext context;
    private final Connection connection;
    private final MemoryAccount account;
    private final BooleanSupplier isLast;
    private boolean closes;
    private boolean isBegun;
    private long unreadBytes;

    /**
     * Creates a writer that has not written anything.
     *
     * @param isLast returns whether the connection has to close after this response although the caller would keep it
     */
    ResponseWriter(
            ChannelHandlerContext context,
            Connection connection,
            MemoryAccount account,
            boolean closes,
            BooleanSupplier isLast) {
        this.context = context;
        this.connection = connection;
        this.account = account;
        this.closes = closes;
        this.isLast = isLast;
    }

    @Override
    public void complete(HttpResponseStatus status, HttpHeaders headers, byte[] bytes) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes), headers, EmptyHttpHeaders.INSTANCE);
        if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setContentLength(response, bytes.length);
        }
        markClose(headers);
        if (connection.isCurrent(this) && !reserve(bytes.length)) {
            response.release();
            abort();
            return;
        }
        finish(response, bytes.length);
    }

    /** Responds to a request whose processing failed, unless a response has begun. */
    void fail() {
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
        if (!reserve(bytes.length)) {
            abort();
            return;
        }
        StreamedResponses.part(context, bytes).addListener(written -> onWritten(bytes.length));
    }

    @Override
    public void end() {
        finish(LastHttpContent.EMPTY_LAST_CONTENT, 0);
    }

    /** Only the head can announce the close; without the announcement the caller may have sent its next request. */
    private void markClose(HttpHeaders headers) {
        isBegun = true;
        closes |= isLast.getAsBoolean();
        if (closes) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void finish(Object last, int bytes) {
        if (!connection.isCurrent(this)) {
            ReferenceCountUtil.release(last);
            return;
        }
        ChannelFuture writing = context.writeAndFlush(last);
        writing.addListener(written -> {
            onWritten(bytes);
            context.executor().execute(() -> {
                if (connection.isCurrent(this)) {
                    connection.onResponseSent(closes);
                }
            });
        });
    }

    private boolean reserve(int bytes) {
        if (!account.tryReserve(bytes)) {
            return false;
        }
        unreadBytes += bytes;
        account.setEvictable(true);
        return true;
    }

    private void onWritten(int bytes) {
        unreadBytes -= bytes;
        account.release(bytes);
        account.onTransferred(bytes);
        if (unreadBytes == 0 && connection.isCurrent(this)) {
            account.setEvictable(false);
        }
    }

    @Override
    public void abort() {
        if (connection.isCurrent(this)) {
            connection.onAborted();
            context.close();
        }
    }

    @Override
    public boolean isWritable() {
        return context.channel().isWritable();
    }
}
