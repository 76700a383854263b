package org.jasminehub.wire;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.jasminehub.wire.generated.Envelope;

/** Framing and limits that both ends of a connection share. */
public final class WireProtocol {
    /** The protocol version of this process; a peer with another version is disconnected. */
    public static final int VERSION = 1;

    /** The largest accepted message; a larger one closes the connection. */
    public static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

    private static final int LENGTH_FIELD_BYTES = 4;

    private WireProtocol() {}

    static void addCodec(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufEncoder());
    }
}
