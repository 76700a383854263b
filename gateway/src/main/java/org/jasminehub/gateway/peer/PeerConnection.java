package org.jasminehub.gateway.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.intake.MemoryAccount;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/** A connection between two processes of this system; it closes itself if the peer sends nothing for too long. */
public final class PeerConnection extends SimpleChannelInboundHandler<PeerEnvelope> {
    /** Read timeout: several times the longest time between two messages of a healthy peer. */
    private static final long SILENCE_MILLIS = 1_500;

    /** Several times the largest message; a connection with a larger one is closed. */
    public static final int MAX_MESSAGE_BYTES = 1 << 20;

    /**
     * Limit on the bytes queued for a peer that does not read, above which the connection is closed. Not below the size of
     * a single message.
     */
    private static final int MAX_PENDING_BYTES = MAX_MESSAGE_BYTES;

    private final PeerListener listener;

    /** The memory of a peer that has connected to this process; null for one that this process connects to. */
    private final @Nullable MemoryAccount account;

    private @Nullable Channel channel;

    private PeerConnection(PeerListener listener, @Nullable MemoryAccount account) {
        this.listener = listener;
        this.account = account;
    }

    /** Adds the protocol handlers to {@code channel}; its messages are passed to {@code listener}. */
    static void install(Channel channel, PeerListener listener) {
        install(channel, new ProtobufVarint32FrameDecoder(MAX_MESSAGE_BYTES), new PeerConnection(listener, null));
    }

    /** Adds the protocol handlers to a channel that was accepted and is subject to {@code limits}. */
    static void installAccepted(Channel channel, PeerListener listener, PeerLimits limits) {
        MemoryAccount account = limits.memory().open(channel::close);
        channel.closeFuture().addListener(closed -> account.close());
        install(
                channel,
                new PeerFrameDecoder(limits.maxMessageBytes(), account),
                new PeerConnection(listener, account));
    }

    private static void install(Channel channel, ChannelHandler frameDecoder, PeerConnection connection) {
        channel.pipeline()
                .addLast(
                        new ReadTimeoutHandler(SILENCE_MILLIS, TimeUnit.MILLISECONDS),
                        frameDecoder,
                        new ProtobufDecoder(PeerEnvelope.getDefaultInstance()),
                        new ProtobufVarint32LengthFieldPrepender(),
                        new ProtobufEncoder(),
                        connection);
    }

    /** Sends {@code message}, or closes the connection if too many bytes are queued because the peer does not read. */
    public void send(PeerEnvelope message) {
        Channel open = channel;
        if (open == null || !open.isActive()) {
            return;
        }
        if (open.unsafe().outboundBuffer() != null
                && open.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_PENDING_BYTES) {
            open.close();
            return;
        }
        MemoryAccount held = account;
        if (held == null) {
            open.writeAndFlush(message);
            return;
        }
        int bytes = message.getSerializedSize();
        if (!held.tryReserve(bytes)) {
            open.close();
            return;
        }
        open.writeAndFlush(message).addListener(written -> held.release(bytes));
    }

    /** Closes the connection. */
    public void close() {
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        listener.onConnected(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerEnvelope message) {
        listener.onMessage(this, message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.onClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A read timeout, a reset or an invalid message: the connection is unusable. The listener's onClosed follows.
        context.close();
    }
}
