package org.jasminehub.gateway.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.concurrent.TimeUnit;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/** One connection between two processes; it closes itself when the other side falls silent. */
public final class PeerConnection extends SimpleChannelInboundHandler<PeerEnvelope> {
    /** Several times the longest pause between two messages of a peer that is well. */
    private static final long SILENCE_MILLIS = 1_500;

    /** A peer that takes no bytes is cut off once this much waits for it: more than any message. */
    private static final int MAX_WAITING_BYTES = 4 << 20;

    private final PeerListener listener;
    private @Nullable Channel channel;

    PeerConnection(PeerListener listener) {
        this.listener = listener;
    }

    /** Makes {@code accepted} speak the protocol and pass its messages to {@code listener}. */
    static void install(Channel accepted, PeerListener listener) {
        accepted.pipeline()
                .addLast(
                        new ReadTimeoutHandler(SILENCE_MILLIS, TimeUnit.MILLISECONDS),
                        new ProtobufVarint32FrameDecoder(),
                        new ProtobufDecoder(PeerEnvelope.getDefaultInstance()),
                        new ProtobufVarint32LengthFieldPrepender(),
                        new ProtobufEncoder(),
                        new PeerConnection(listener));
    }

    /** Sends {@code message}, or closes the connection where the peer does not read. */
    public void send(PeerEnvelope message) {
        Channel open = channel;
        if (open == null || !open.isActive()) {
            return;
        }
        if (open.unsafe().outboundBuffer() != null
                && open.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_WAITING_BYTES) {
            open.close();
            return;
        }
        open.writeAndFlush(message);
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
        // Silence, a reset or bytes that are no message: the connection is of no more use, and onClosed tells so.
        context.close();
    }
}
