package org.jasminehub.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jasminehub.runtime.time.SystemClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how the end of a connection ends the response on it. */
final class EndpointConnectionTest {
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String FRAMED = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    private static final String END = "end";
    private static final int QUIET_MILLIS = 10;

    /** Far longer than any step takes, so a test that reaches it has failed. */
    private static final int TIMEOUT_MILLIS = 20_000;

    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private EventLoop loop;
    private EndpointClient client;
    private ServerSocket listener;

    @BeforeEach
    void start() throws IOException {
        loop = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("client", true), NioIoHandler.newFactory())
                .next();
        client = new EndpointClient(loop, new SystemClock());
        listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException {
        listener.close();
        stopLoop();
    }

    private void stopLoop() {
        // Without a quiet period, Netty may end the loop before it has closed the channels.
        loop.shutdownGracefully(QUIET_MILLIS, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }

    private Socket accept() throws IOException {
        Socket socket = listener.accept();
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private final class Recorder implements ResponseSink {
        @Override
        public void onHead(HttpResponseStatus status, HttpHeaders headers) {
            received.add(Integer.toString(status.code()));
        }

        @Override
        public void onBody(byte[] part) {
            received.add(new String(part, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onEnd() {
            received.add(END);
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            received.add(failure.name());
        }
    }

    /** Sends a request and returns the exchange and, at the endpoint, its connection. */
    private Exchange send() {
        return CompletableFuture.supplyAsync(
                        () -> client.send(
                                new EndpointAddress("127.0.0.1", listener.getLocalPort()),
                                new DefaultFullHttpRequest(
                                        HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER),
                                ConnectionUse.KEPT_OR_NEW,
                                new Recorder(),
                                ExchangeMonitor.NONE),
                        loop)
                .join();
    }

    private static void readRequest(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int value = in.read();
            assertTrue(value >= 0, head.toString());
            head.append((char) value);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void assertReceived(String... expected) throws InterruptedException {
        for (String item : expected) {
            assertEquals(item, received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
    }

    /** Guards against a response without a length that is complete although its endpoint did not end it. */
    @Nested
    final class WithoutLength {
        /** Returns the endpoint's side of a connection on which the client has read a part of a response. */
        private Socket begin() throws Exception {
            Socket socket = accept();
            readRequest(socket);
            write(socket, UNFRAMED + "part");
            assertReceived("200", "part");
            return socket;
        }

        @Test
        void testAnEndOfTheConnectionCompletesTheResponse() throws Exception {
            send();
            begin().close();

            assertReceived(END);
        }

        @Test
        void testAnEndOfOneDirectionCompletesTheResponseAndClosesTheConnection() throws Exception {
            send();
            try (Socket socket = begin()) {
                socket.shutdownOutput();

                assertReceived(END);
                assertEquals(-1, socket.getInputStream().read());
            }
        }

        @Test
        void testAResetFailsTheResponse() throws Exception {
            send();
            Socket socket = begin();
            socket.setSoLinger(true, 0);
            socket.close();

            assertReceived("CUT");
        }

        @Test
        void testTheEndOfTheEventLoopDoesNotCompleteTheResponse() throws Exception {
            send();
            try (Socket socket = begin()) {
                stopLoop();

                assertEquals(-1, socket.getInputStream().read());
                assertFalse(received.contains(END));
            }
        }

        @Test
        void testACancelledExchangeIsNotCompleted() throws Exception {
            Exchange exchange = send();
            try (Socket socket = begin()) {
                loop.submit(exchange::cancel).sync();

                assertEquals(-1, socket.getInputStream().read());
                stopLoop();
                assertTrue(received.isEmpty(), List.copyOf(received).toString());
            }
        }
    }

    /**
     * Guards against a response that is complete although a part of its request could not be written: the operating
     * system reports a reset once, so the read after a failed write may find an end of the connection.
     */
    @Nested
    final class FailedWrite {
        private static final int BODY_BYTES = 1 << 20;

        private int partsUntilFailure;

        private final class FailingWrites extends ChannelOutboundHandlerAdapter {
            @Override
            public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                if (partsUntilFailure-- == 0) {
                    ReferenceCountUtil.release(message);
                    promise.setFailure(new IOException("Connection reset by peer"));
                } else {
                    context.write(message, promise);
                }
            }
        }

        @ParameterizedTest
        @ValueSource(ints = {0, 1, 2, 15, 16})
        void testAnEndOfTheConnectionDoesNotCompleteTheResponse(int writtenParts) {
            partsUntilFailure = writtenParts;
            StrictResponseDecoder decoder = new StrictResponseDecoder();
            EndpointConnection connection = new EndpointConnection(decoder, reusable -> received.add("reusable"));
            EmbeddedChannel channel =
                    new EmbeddedChannel(new FailingWrites(), new HttpRequestEncoder(), decoder, connection);
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.POST,
                    "/",
                    Unpooled.buffer(BODY_BYTES).writeZero(BODY_BYTES));
            HttpUtil.setContentLength(request, BODY_BYTES);

            connection.send(request, new Recorder(), ExchangeMonitor.NONE);
            channel.runPendingTasks();
            channel.pipeline()
                    .fireChannelRead(Unpooled.copiedBuffer(UNFRAMED + "part", StandardCharsets.ISO_8859_1))
                    .fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            channel.runPendingTasks();

            assertTrue(received.contains("CUT"), received.toString());
            assertFalse(received.contains(END), received.toString());
            assertFalse(channel.isOpen());
            channel.releaseOutbound();
            assertEquals(0, request.refCnt());
        }
    }

    /** Guards against a request on a connection that its endpoint has ended. */
    @Nested
    final class Pooled {
        @Test
        void testAConnectionIsReusedUntilItsEndpointEndsIt() throws Exception {
            send();
            try (Socket socket = accept()) {
                readRequest(socket);
                write(socket, FRAMED);
                assertReceived("200", "done", END);
                send();
                readRequest(socket);
                write(socket, FRAMED);
                assertReceived("200", "done", END);

                socket.shutdownOutput();

                assertEquals(-1, socket.getInputStream().read());
            }
            send();
            try (Socket next = accept()) {
                readRequest(next);
                write(next, FRAMED);
                assertReceived("200", "done", END);
            }
        }
    }
}
