package org.jasminehub.gateway.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Bounds the bytes that one connection passes to its handlers before the event loop serves the other connections.
 *
 * <p>All connections of a process share one event loop, and the peer determines what its bytes cost: in a few bytes it
 * can send an event, a chunk or a message. Handlers may therefore do work in proportion to the bytes of a read, but
 * write, flush and schedule timers only once for each read.
 */
public final class BoundedReads {
    /** Larger than usual requests, responses and events, so that only large bodies need several reads. */
    public static final int MAX_READ_BYTES = 8 << 10;

    private static final int MIN_BUFFER_BYTES = 512;
    private static final int INITIAL_BUFFER_BYTES = 2 << 10;

    private static final RecvByteBufAllocator ALLOCATOR = new AdaptiveRecvByteBufAllocator(
                    MIN_BUFFER_BYTES, INITIAL_BUFFER_BYTES, MAX_READ_BYTES)
            .maxMessagesPerRead(1);

    private BoundedReads() {}

    /** Applies the bound to the connections that {@code bootstrap} opens. */
    public static Bootstrap applyTo(Bootstrap bootstrap) {
        return bootstrap.option(ChannelOption.RECVBUF_ALLOCATOR, ALLOCATOR);
    }

    /** Applies the bound to the connections that {@code bootstrap} accepts. */
    public static ServerBootstrap applyTo(ServerBootstrap bootstrap) {
        return bootstrap.childOption(ChannelOption.RECVBUF_ALLOCATOR, ALLOCATOR);
    }
}
