package org.jasminehub.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class RequestWriterTest {
    private final EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestEncoder());

    private static FullHttpRequest request(byte[] bytes) {
        RequestBody body = new RequestBody();
        body.append(Unpooled.wrappedBuffer(bytes), -1, size -> true);
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/", body.toBuffer());
        HttpUtil.setContentLength(request, bytes.length);
        return request;
    }

    private static byte[] bytes(int length) {
        byte[] bytes = new byte[length];
        new SplittableRandom(1).nextBytes(bytes);
        return bytes;
    }

    private String written() {
        ByteBuf all = Unpooled.buffer();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            all.writeBytes(part);
            part.release();
        }
        return all.toString(StandardCharsets.ISO_8859_1);
    }

    private void assertWhole(int length) {
        byte[] bytes = bytes(length);
        FullHttpRequest request = request(bytes);

        ChannelFuture done = new RequestWriter(channel, request).start();
        channel.runPendingTasks();

        String text = written();
        assertTrue(done.isSuccess(), () -> String.valueOf(done.cause()));
        assertEquals(0, request.refCnt());
        assertTrue(text.startsWith("POST / HTTP/1.1\r\ncontent-length: " + length + "\r\n\r\n"), text.substring(0, 60));
        assertEquals(new String(bytes, StandardCharsets.ISO_8859_1), text.substring(text.indexOf("\r\n\r\n") + 4));
    }

    @Test
    void testASmallRequestIsWrittenWhole() {
        assertWhole(100);
    }

    @Test
    void testALargeRequestIsWrittenWhole() {
        assertWhole(1_000_000);
    }

    /** Guards against parts that are written while the encoder still writes the previous one. */
    @Test
    void testALargeRequestIsWrittenWholeIfEachPartChangesTheWritability() {
        RequestWriter[] writer = new RequestWriter[1];
        channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelWritabilityChanged(ChannelHandlerContext context) {
                writer[0].writeParts();
            }
        });
        byte[] bytes = bytes(1_000_000);
        FullHttpRequest request = request(bytes);
        writer[0] = new RequestWriter(channel, request);

        ChannelFuture done = writer[0].start();
        channel.runPendingTasks();

        assertTrue(written().endsWith(new String(bytes, StandardCharsets.ISO_8859_1)));
        assertTrue(done.isSuccess());
        assertEquals(0, request.refCnt());
    }

    /** Guards against a copy of a whole body outside the heap for an endpoint that does not read. */
    @Test
    void testPartsOfALargeRequestWaitUntilTheEndpointReads() {
        FullHttpRequest request = request(bytes(1_000_000));
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        RequestWriter writer = new RequestWriter(channel, request);

        ChannelFuture done = writer.start();
        assertTrue(written().length() < 1_000, "only the head is written");

        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
        writer.writeParts();
        channel.runPendingTasks();
        assertTrue(written().length() >= 1_000_000);
        assertTrue(done.isSuccess());
    }

    @Test
    void testARequestIsReleasedIfTheConnectionCloses() {
        FullHttpRequest request = request(bytes(1_000_000));
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        new RequestWriter(channel, request).start();

        channel.close();

        assertEquals(0, request.refCnt());
    }
}
