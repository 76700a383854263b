package org.jasminehub.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jasminehub.core.serving.CallerLimits;
import org.jasminehub.platform.PlatformException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the connections of callers over real sockets. */
final class CallerServerTest {
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final PlatformException FAILURE = new PlatformException("handler", "cause", null);

    /** More than the buffers of both ends of a connection hold. */
    private static final int LARGE_BODY_BYTES = 32 << 20;

    /** Together longer than the time for which a server waits for a caller that sends nothing. */
    private static final int SLOW_PARTS = 6;

    private static final int SLOW_PART_MILLIS = 300;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("callers", true), NioIoHandler.newFactory())
            .next();
    private final Queue<String> reports = new ConcurrentLinkedQueue<>();

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private Socket connect(CallerHandler handler) throws IOException {
        CallerServer server = CallerServer.start(
                loop,
                EndpointAddress.parse("127.0.0.1:0"),
                () -> CallerLimits.DEFAULT,
                handler,
                (status, reason) -> reports.add(status + " " + reason));
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), server.port());
        caller.setSoTimeout(TIMEOUT_MILLIS);
        return caller;
    }

    private static String read(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private static void write(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Guards against requests that end without a response and without a log line. */
    @Test
    void testARequestWhoseHandlerThrowsGetsAResponseAndIsReported() throws Exception {
        CallerHandler failing = (request, response) -> {
            throw FAILURE;
        };
        try (Socket caller = connect(failing)) {
            write(caller, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n");

            String answer = read(caller);

            assertTrue(answer.startsWith("HTTP/1.1 500 "), "response: " + answer);
            assertTrue(answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
            assertEquals(List.of("500 processing failed: " + FAILURE), List.copyOf(reports));
        }
    }

    /** Guards against a second response on a connection whose handler fails after its response. */
    @Test
    void testAHandlerThatThrowsAfterItsResponseWritesNoSecondOne() throws Exception {
        CallerHandler failing = (request, response) -> {
            response.complete(HttpResponseStatus.OK, new DefaultHttpHeaders(), new byte[] {'x'});
            throw FAILURE;
        };
        try (Socket caller = connect(failing)) {
            write(caller, "GET / HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n");

            String answer = read(caller);

            assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("\r\n\r\nx"), "response: " + answer);
            assertEquals(List.of("500 processing failed: " + FAILURE), List.copyOf(reports));
        }
    }

    /** Guards against a reset that overtakes the refusal while the caller still sends its body. */
    @Test
    void testACallerThatSendsItsWholeBodyBeforeItReadsGetsTheRefusal() throws Exception {
        try (Socket caller = connect((request, response) -> CallerExchange.COMPLETED)) {
            write(caller, "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n");
            byte[] part = new byte[1 << 16];
            String answer;
            try {
                OutputStream body = caller.getOutputStream();
                for (int sent = 0; sent < LARGE_BODY_BYTES; sent += part.length) {
                    body.write(part);
                }
                answer = read(caller);
            } catch (SocketException e) {
                answer = e.toString();
            }

            assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
        }
    }

    /** Guards against a connection that is closed while a refused caller still sends, before it reads the refusal. */
    @Test
    void testACallerThatSendsItsBodySlowlyGetsTheRefusal() throws Exception {
        try (Socket caller = connect((request, response) -> CallerExchange.COMPLETED)) {
            write(caller, "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n");
            String answer;
            try {
                for (int part = 0; part < SLOW_PARTS; part++) {
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SLOW_PART_MILLIS));
                    write(caller, "part");
                }
                answer = read(caller);
            } catch (SocketException e) {
                answer = e.toString();
            }

            assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
        }
    }
}
