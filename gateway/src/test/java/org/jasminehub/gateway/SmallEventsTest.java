package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Pattern;
import org.jasminehub.gateway.net.BoundedReads;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the work for a stream depends on its bytes and not on the number of events that they contain. */
final class SmallEventsTest extends GatewayFixture {
    /** Fits into the socket buffers of a connection that is not read. */
    private static final int STREAM_BYTES = 60 << 10;

    private static final Pattern CHUNK = Pattern.compile("\r\n[0-9a-f]+\r\n");

    /** Returns a reply whose bytes have all arrived before the gateway reads the first of them. */
    private ScriptedEndpoint.Reply arrivingAtOnce(String headers, String body) {
        return (request, socket) -> {
            CountDownLatch isBlocked = new CountDownLatch(1);
            CountDownLatch hasArrived = new CountDownLatch(1);
            EventLoop loop = gateway.entry().client().loop();
            loop.execute(() -> {
                isBlocked.countDown();
                awaitUninterruptibly(hasArrived);
            });
            awaitUninterruptibly(isBlocked);
            socket.setSendBufferSize(4 * STREAM_BYTES);
            ScriptedEndpoint.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                            + "\r\nX-Response-Signature: s\r\n" + headers + "\r\n\r\n" + body);
            hasArrived.countDown();
            return false;
        };
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long chunks(String answer) {
        return CHUNK.matcher(answer).results().count();
    }

    @ParameterizedTest
    @ValueSource(strings = {":\n\n", "data\n\n", "\n\n\n:\n\n"})
    void testEventsOfOneReadAreWrittenTogether(String event) throws Exception {
        serveWithOneEndpoint();
        String events = event.repeat(STREAM_BYTES / event.length());
        script.add(arrivingAtOnce("Content-Type: text/event-stream", events));

        String answer = gateway.exchange(stream("r-1"));

        assertTrue(answer.endsWith("\r\n0\r\n\r\n"), "the stream is cut");
        assertTrue(chunks(answer) <= 3 + STREAM_BYTES / BoundedReads.MAX_READ_BYTES, chunks(answer) + " writes");
        assertEquals(
                events,
                answer.replaceAll("(?s)^.*?\r\n\r\n|\r\n[0-9a-f]+\r\n", "").replaceAll("^[0-9a-f]+\r\n|\r\n$", ""));
    }

    @Test
    void testABlankLineWithoutAnEventBeginsNoStream() throws Exception {
        serveWithBothEndpoints();
        script.add(arrivingAtOnce("Content-Type: text/event-stream", "\n\n\r\n"));
        script.add((request, socket) -> {
            SilentStreamFixture.head(request, socket);
            SilentStreamFixture.events(socket, 1, 2);
            return SilentStreamFixture.end(socket);
        });

        String answer = gateway.exchange(stream("r-1"));

        assertTrue(answer.contains("data: e2\n\n") && answer.endsWith("0\r\n\r\n"), answer);
        assertEquals(2, requests());
    }

    @Test
    void testARequestInOneByteChunksArrivesWhole() throws Exception {
        serveWithOneEndpoint();
        String body = "x".repeat(9_000);
        script.add(ScriptedEndpoint.ok("done"));

        try (Socket caller = gateway.connect()) {
            ScriptedEndpoint.write(
                    caller,
                    GatewayHarness.request("POST", "/unsafe/x", "r-1", KEY, "")
                                    .replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n")
                            + "1\r\nx\r\n".repeat(body.length()) + "0\r\n\r\n");
            assertTrue(GatewayHarness.readAll(caller.getInputStream()).endsWith("done"));
        }

        assertEquals(body, takeRequest(endpointOne).body());
    }
}
