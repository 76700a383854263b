package org.jasminehub.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that an endpoint which sends many small parts does not hold up the responses of other endpoints.
 *
 * <p>All responses have arrived before the event loop reads the first of them, so that the order of events does not
 * depend on the speed of the machine. The work of a relay is simulated: it takes a millisecond of a manual clock for
 * each part and one for each KiB.
 */
final class SmallPartsTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final int SOUND_ENDPOINTS = 8;

    /** The work of one read: a part, and as many KiB as one read may have. */
    private static final long MAX_READ_MILLIS = 1 + BoundedReads.MAX_READ_BYTES / 1024;

    /** Fits into the socket buffers of a connection that is not read. */
    private static final int FLOOD_BYTES = 96 << 10;

    private static final int SOCKET_BUFFER_BYTES = 200 << 10;
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final ManualClock clock = new ManualClock(0);
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("client", true), NioIoHandler.newFactory())
            .next();
    private final EndpointClient client = new EndpointClient(loop, clock);
    private final List<AutoCloseable> resources = new ArrayList<>();
    private final BlockingQueue<Long> waitsMillis = new LinkedBlockingQueue<>();
    private final BlockingQueue<ExchangeFailure> failures = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** A connection whose request has arrived at its endpoint. */
    private record Requested(Socket endpoint) {
        /** Writes {@code text}, which the socket buffers can hold. */
        void write(String text) throws IOException {
            endpoint.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private Requested request(ResponseSink sink) throws Exception {
        ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        resources.add(listener);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        loop.execute(() -> client.send(
                new EndpointAddress("127.0.0.1", listener.getLocalPort()),
                request,
                ConnectionUse.NEW,
                sink,
                ExchangeMonitor.NONE));
        Socket accepted = listener.accept();
        resources.add(accepted);
        accepted.setSendBufferSize(SOCKET_BUFFER_BYTES);
        accepted.setTcpNoDelay(true);
        InputStream in = accepted.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        return new Requested(accepted);
    }

    /** Advances the clock by the work that relaying the response takes. */
    private final class RelayingSink implements ResponseSink {
        private int bytes;

        @Override
        public void onHead(HttpResponseStatus status, HttpHeaders headers) {
            clock.advanceMillis(1);
        }

        @Override
        public void onBody(byte[] part) {
            int kibBefore = bytes / 1024;
            bytes += part.length;
            clock.advanceMillis(1 + bytes / 1024 - kibBefore);
        }

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(ExchangeFailure failure) {
            failures.add(failure);
        }
    }

    /** Records how long the complete response waited for the event loop. */
    private final class WaitRecorder implements ResponseSink {
        @Override
        public void onHead(HttpResponseStatus status, HttpHeaders headers) {}

        @Override
        public void onBody(byte[] part) {}

        @Override
        public void onEnd() {
            waitsMillis.add(clock.monotonicMillis());
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            failures.add(failure);
        }
    }

    /** Returns the longest wait of the sound responses while {@code floods} other connections have {@code flood} to read. */
    private long longestWaitMillis(int floods, String flood) throws Exception {
        List<Requested> flooding = new ArrayList<>();
        for (int index = 0; index < floods; index++) {
            flooding.add(request(new RelayingSink()));
        }
        List<Requested> sound = new ArrayList<>();
        for (int index = 0; index < SOUND_ENDPOINTS; index++) {
            sound.add(request(new WaitRecorder()));
        }
        CountDownLatch isHeld = new CountDownLatch(1);
        CountDownLatch hasArrived = new CountDownLatch(1);
        loop.execute(() -> {
            isHeld.countDown();
            awaitUninterruptibly(hasArrived);
        });
        // A loop that is not held yet would read the first response before the others have arrived.
        assertTrue(isHeld.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the event loop did not run the task");
        for (Requested connection : flooding) {
            connection.write(flood);
        }
        for (Requested connection : sound) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
        hasArrived.countDown();
        long longestMillis = 0;
        for (int index = 0; index < SOUND_ENDPOINTS; index++) {
            Long waitMillis = waitsMillis.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertTrue(waitMillis != null, "no response");
            longestMillis = Math.max(longestMillis, waitMillis);
        }
        return longestMillis;
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String repeated(String text) {
        return text.repeat(FLOOD_BYTES / text.length());
    }

    /** The longest wait of other responses. */
    @Nested
    final class LongestWait {
        @ParameterizedTest
        @ValueSource(ints = {1, 3, 6})
        void testOneByteChunksTakeOneReadOfEachConnection(int floods) throws Exception {
            long waitMillis = longestWaitMillis(floods, CHUNKED_HEAD + repeated("1\r\nx\r\n"));

            assertTrue(waitMillis <= floods * MAX_READ_MILLIS, waitMillis + " ms");
        }

        @ParameterizedTest
        @ValueSource(strings = {"\n", ":\n\n", "x"})
        void testABodyOfAnyBytesTakesOneReadOfItsConnection(String bytes) throws Exception {
            long waitMillis = longestWaitMillis(1, "HTTP/1.1 200 OK\r\n\r\n" + repeated(bytes));

            assertTrue(waitMillis <= MAX_READ_MILLIS, waitMillis + " ms");
        }
    }

    /** Interim responses, of which any number may precede a response. */
    @Nested
    final class InterimResponses {
        private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

        @Test
        void testInterimResponsesWithoutEndFailTheExchange() throws Exception {
            longestWaitMillis(1, repeated(CONTINUE));

            assertEquals(ExchangeFailure.MALFORMED, failures.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }

        @Test
        void testAFewInterimResponsesPrecedeAResponse() throws Exception {
            Requested requested = request(new WaitRecorder());

            requested.write(CONTINUE.repeat(3) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");

            assertEquals(0L, waitsMillis.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertTrue(failures.isEmpty());
        }
    }
}
