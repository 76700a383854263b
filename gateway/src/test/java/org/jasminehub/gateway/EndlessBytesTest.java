package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.jasminehub.gateway.net.BufferedHttpClient;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.runtime.time.SystemClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests endpoints that send bytes without end, up to 200 MB, until their connection is closed. */
final class EndlessBytesTest extends GatewayFixture {
    private static final long SENT_BYTES = 200L << 20;

    /** Far more than the socket buffers and the limits of the gateway, far less than what is sent. */
    private static final long MAX_ACCEPTED_BYTES = 48L << 20;

    private static final int CHUNK_BYTES = 64 << 10;

    private final AtomicLong accepted = new AtomicLong();

    /** Returns a reply that sends {@code head} and then {@code filler} repeatedly. */
    private ScriptedEndpoint.Reply endless(String head, String filler) {
        byte[] chunk = filler.repeat(CHUNK_BYTES / filler.length()).getBytes(StandardCharsets.UTF_8);
        return (request, socket) -> {
            ScriptedEndpoint.write(socket, head.replace("{id}", request.header("x-attempt-id")));
            while (accepted.get() < SENT_BYTES) {
                socket.getOutputStream().write(chunk);
                accepted.addAndGet(chunk.length);
            }
            return false;
        };
    }

    private void awaitClosedEarly() throws InterruptedException {
        assertTrue(
                endpointOne.closes().poll(GatewayHarness.TIMEOUT.toSeconds(), TimeUnit.SECONDS) != null,
                "connection not closed");
        assertTrue(accepted.get() < MAX_ACCEPTED_BYTES, accepted + " bytes accepted");
    }

    /** Bytes in answers to calls. */
    @Nested
    final class Answers {
        @Test
        void testHeadWithoutEndFailsTheCall() throws Exception {
            serveWithOneEndpoint();
            script.add(endless("HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n"));

            String answer = gateway.exchange(unsafe("r-1"));

            assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
            awaitClosedEarly();
        }

        @Test
        void testBytesThatAreNoAnswerFailTheCall() throws Exception {
            serveWithOneEndpoint();
            script.add(endless("", "0123456789"));

            String answer = gateway.exchange(unsafe("r-1"));

            assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
            awaitClosedEarly();
        }

        @Test
        void testRefusalWithABodyWithoutEndIsStillARefusal() throws Exception {
            serveWithBothEndpoints();
            script.add(endless("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n\r\n", "0123456789"));
            script.add(ScriptedEndpoint.ok("done"));

            String answer = gateway.exchange(unsafe("r-1"));

            assertTrue(answer.endsWith("done"), answer);
            assertTrue(accepted.get() < MAX_ACCEPTED_BYTES, accepted + " bytes accepted");
        }

        @Test
        void testBytesBehindACompleteAnswerCloseTheConnection() throws Exception {
            serveWithOneEndpoint();
            script.add(endless(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\nContent-Length: 4\r\n\r\ndone",
                    "0123456789"));

            String answer = gateway.exchange(safe("r-1"));

            assertTrue(answer.endsWith("done"), answer);
            awaitClosedEarly();
        }

        @Test
        void testEventWithoutEndFailsTheStream() throws Exception {
            serveWithOneEndpoint();
            script.add(endless(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n"
                            + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
                    "0123456789"));
            script.add(ScriptedEndpoint.reset());

            String answer = gateway.exchange(stream("r-1"));

            assertTrue(!answer.endsWith("0\r\n\r\n"), "the stream looks complete");
            awaitClosedEarly();
        }

        @Test
        void testBlankLinesWithoutEndAreNoStreamAndAnotherEndpointServesTheCall() throws Exception {
            serveWithBothEndpoints();
            script.add(endless(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n"
                            + "Content-Type: text/event-stream\r\n\r\n",
                    "\n"));
            script.add((request, socket) -> {
                SilentStreamFixture.head(request, socket);
                SilentStreamFixture.events(socket, 1, 2);
                return SilentStreamFixture.end(socket);
            });

            String answer = gateway.exchange(stream("r-1"));

            assertTrue(answer.contains("data: e2\n\n") && answer.endsWith("0\r\n\r\n"), answer);
            assertTrue(accepted.get() < MAX_ACCEPTED_BYTES, accepted + " bytes accepted");
        }

        @Test
        void testBodyWithoutEndWaitsForACallerThatDoesNotRead() throws Exception {
            serveWithOneEndpoint();
            script.add(
                    endless("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n\r\n", "0123456789"));

            try (Socket caller = gateway.connect()) {
                caller.getOutputStream().write(safe("r-1").getBytes(StandardCharsets.UTF_8));
                awaitStandstill();
            }

            assertTrue(accepted.get() < MAX_ACCEPTED_BYTES, accepted + " bytes accepted");
        }

        /** Waits until the endpoint cannot send any more, or has sent everything. */
        private void awaitStandstill() {
            long previous = -1;
            while (accepted.get() != previous || previous == 0) {
                previous = accepted.get();
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(300));
            }
        }
    }

    /** Places of a response in which bytes have no end, on each kind of route. */
    @Nested
    final class Places {
        private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n";
        private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

        static List<Arguments> places() {
            return List.of(
                    Arguments.of("", "x"),
                    Arguments.of("", "\r\n"),
                    Arguments.of("HTTP/1.1 200 ", "x"),
                    Arguments.of("HTTP/1.1 200 OK\r\nX-Long: ", "x"),
                    Arguments.of("HTTP/1.1 200 OK\r\n", "X-Many: 0123456789\r\n"),
                    Arguments.of("HTTP/1.1 103 Early Hints\r\n", "X-Many: 0123456789\r\n"),
                    Arguments.of("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
                    Arguments.of(CHUNKED, "0"),
                    Arguments.of(CHUNKED + "1;", "x"),
                    Arguments.of(CHUNKED + "0\r\n", "X-Trailer: 0123456789\r\n"));
        }

        @ParameterizedTest
        @MethodSource("places")
        void testNoPlaceTakesBytesWithoutEnd(String head, String filler) throws Exception {
            serveWithOneEndpoint();
            for (String request : List.of(unsafe("r-1"), safe("r-2"), stream("r-3"))) {
                accepted.set(0);
                script.addAll(Collections.nCopies(4, endless(head, filler)));

                String answer = gateway.exchange(request);

                assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
                awaitClosedEarly();
                script.clear();
            }
        }
    }

    /** Bytes from processes that connect as peers. */
    @Nested
    final class Peers {
        /** A length of a message, as its protocol states it, of about 2 GB. */
        private static final byte[] LENGTH = {-1, -1, -1, -1, 7};

        @Test
        void testAMessageWithoutEndClosesItsConnection() throws Exception {
            try (GatewayHarness peer = GatewayHarness.withPeers("entry-2");
                    Socket socket = connect(peer.peerAddress())) {
                byte[] chunk = new byte[CHUNK_BYTES];
                socket.getOutputStream().write(LENGTH);

                assertThrows(IOException.class, () -> {
                    while (accepted.get() < SENT_BYTES) {
                        socket.getOutputStream().write(chunk);
                        accepted.addAndGet(chunk.length);
                    }
                });

                assertTrue(accepted.get() < MAX_ACCEPTED_BYTES, accepted + " bytes accepted");
            }
        }

        private Socket connect(String address) throws IOException {
            int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
            return new Socket(InetAddress.getLoopbackAddress(), port);
        }
    }

    /** Bytes in reports of engines and responses of the store. */
    @Nested
    final class Reports {
        @Test
        void testReportWithoutEndFailsAndClosesItsConnection() throws Exception {
            EventLoop loop = new MultiThreadIoEventLoopGroup(
                            1, new DefaultThreadFactory("client", true), NioIoHandler.newFactory())
                    .next();
            script.add(endless("HTTP/1.1 200 OK\r\n\r\n", "0123456789"));
            BufferedHttpClient client = new BufferedHttpClient(
                    new EndpointClient(loop, new SystemClock()),
                    new EndpointAddress("127.0.0.1", endpointOne.port()),
                    "engine");

            CompletionException failure = assertThrows(
                    CompletionException.class, () -> report(loop, client).join());

            assertInstanceOf(PlatformException.class, failure.getCause());
            awaitClosedEarly();
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }

        private CompletableFuture<BufferedHttpClient.Response> report(EventLoop loop, BufferedHttpClient client) {
            return CompletableFuture.supplyAsync(
                            () -> client.call("GET", "/report", "application/json", new byte[0], 15_000), loop)
                    .thenCompose(response -> response);
        }
    }
}
