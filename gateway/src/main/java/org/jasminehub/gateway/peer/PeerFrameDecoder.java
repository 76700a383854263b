package org.jasminehub.gateway.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import org.jasminehub.core.intake.MemoryAccount;

/** Splits the bytes of an accepted connection into messages and reserves memory for those that are incomplete. */
final class PeerFrameDecoder extends ProtobufVarint32FrameDecoder {
    private final MemoryAccount account;
    private long reservedBytes;

    PeerFrameDecoder(int maxMessageBytes, MemoryAccount account) {
        super(maxMessageBytes);
        this.account = account;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        super.channelRead(context, message);
        long capacityBytes = internalBuffer().capacity();
        if (capacityBytes <= reservedBytes) {
            account.release(reservedBytes - capacityBytes);
            reservedBytes = capacityBytes;
        } else if (account.tryReserve(capacityBytes - reservedBytes)) {
            account.onTransferred(capacityBytes - reservedBytes);
            reservedBytes = capacityBytes;
        } else {
            context.close();
        }
    }
}
