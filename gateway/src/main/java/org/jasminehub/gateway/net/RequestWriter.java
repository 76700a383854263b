package org.jasminehub.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;

/**
 * Writes a request to an endpoint. A large body is written in parts, as the endpoint reads them: each part is copied to
 * memory outside the heap until it has been handed to the operating system.
 */
final class RequestWriter {
    private static final int PART_BYTES = 64 << 10;

    private final Channel channel;
    private final FullHttpRequest request;
    private final ByteBuf body;
    private final ChannelPromise written;
    private boolean isInParts;
    private boolean isWriting;

    /** Creates a writer, which releases {@code request} once it is written or the channel is closed. */
    RequestWriter(Channel channel, FullHttpRequest request) {
        this.channel = channel;
        this.request = request;
        this.body = request.content();
        this.written = channel.newPromise();
    }

    /**
     * Starts writing; the result succeeds once the whole request has been handed to the operating system, and fails as
     * soon as a part of it cannot be.
     */
    ChannelFuture start() {
        if (body.readableBytes() <= PART_BYTES) {
            return channel.writeAndFlush(request, written);
        }
        isInParts = true;
        channel.closeFuture().addListener(closed -> release());
        written.addListener(done -> release());
        writePart(
                new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), request.headers()));
        writeParts();
        return written;
    }

    /** Writes the next parts unless that is being done; called when the channel may have become writable. */
    void writeParts() {
        if (!isInParts || isWriting) {
            return;
        }
        // Writing changes the writability of the channel, and its encoder does not support writes during a write.
        isWriting = true;
        while (isInParts && body.isReadable() && channel.isWritable()) {
            boolean isLast = body.readableBytes() <= PART_BYTES;
            ByteBuf part = body.readRetainedSlice(Math.min(PART_BYTES, body.readableBytes()));
            if (isLast) {
                channel.write(new DefaultLastHttpContent(part), written);
            } else {
                writePart(new DefaultHttpContent(part));
            }
        }
        channel.flush();
        isWriting = false;
        if (isInParts && body.isReadable() && channel.isWritable()) {
            // Later, so that other connections are served between the parts of a large body.
            channel.eventLoop().execute(this::writeParts);
        }
    }

    private void writePart(HttpObject part) {
        channel.write(part).addListener(done -> {
            if (!done.isSuccess()) {
                written.tryFailure(done.cause());
                release();
            }
        });
    }

    private void release() {
        if (isInParts) {
            isInParts = false;
            request.release();
        }
    }
}
