package org.jasminehub.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.jasminehub.core.event.Event;
import org.jasminehub.wire.generated.AnswerChunk;
import org.jasminehub.wire.generated.AnswerEnd;
import org.jasminehub.wire.generated.AnswerHead;
import org.jasminehub.wire.generated.AnswerRefused;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.EndpointLoad;
import org.jasminehub.wire.generated.Envelope;
import org.jasminehub.wire.generated.Hello;
import org.jasminehub.wire.generated.StatusReply;
import org.jasminehub.wire.generated.StatusRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class WireServerTest {
    private static final String HOST = "127.0.0.1";
    private static final Hello HELLO =
            Hello.newBuilder().setProtocolVersion(WireProtocol.VERSION).build();

    /** With {@link #LARGE_CHUNKS}, more than the buffers of both ends of a connection hold. */
    private static final int LARGE_CHUNK_BYTES = 1 << 19;

    private static final int LARGE_CHUNKS = 64;

    private final BlockingQueue<IncomingCall> arrived = new LinkedBlockingQueue<>();
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final ControlRouter router = new ControlRouter();
    private WireGroup group;
    private WireServer server;

    @BeforeEach
    void start() {
        group = new WireGroup(1);
        server = WireServer.start(group, HOST, 0, () -> HELLO, arrived::add, router, events::add);
    }

    @AfterEach
    void stop() {
        server.close();
        group.close();
    }

    private WireClient client(Hello hello) {
        return new WireClient(group, HOST, server.port(), () -> hello, new IgnoringPeer());
    }

    private static final class IgnoringPeer implements PeerListener {
        @Override
        public void onHello(Hello hello) {}

        @Override
        public void onLoad(EndpointLoad load) {}

        @Override
        public void onDisconnected() {}
    }

    /** Records a response as text lines. */
    private static class RecordingResponse implements ResponseListener {
        private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

        @Override
        public void onHead(AnswerHead head) {
            lines.add("head " + head.getStatus());
        }

        @Override
        public void onChunk(AnswerChunk chunk) {
            lines.add("chunk " + chunk.getSequence() + " " + chunk.getData().toStringUtf8());
        }

        @Override
        public void onEnd(AnswerEnd end) {
            lines.add("end " + end.getChunks());
        }

        @Override
        public void onRefused(AnswerRefused refusal) {
            lines.add("refused " + refusal.getCode());
        }

        @Override
        public void onConnectionLost(boolean sent) {
            lines.add("lost " + (sent ? "sent" : "unsent"));
        }
    }

    /** Records credit and cancellation of an incoming call as text lines. */
    private static final class RecordingCall implements CallListener {
        private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

        @Override
        public void onCredit(int chunks) {
            lines.add("credit " + chunks);
        }

        @Override
        public void onCancel() {
            lines.add("cancel");
        }
    }

    @Nested
    final class Calls {
        @Test
        void testResponseArrivesInOrderWithChunkCount() throws InterruptedException {
            RecordingResponse response = new RecordingResponse();
            client(HELLO).call(CallStart.newBuilder(), response);
            IncomingCall call = arrived.take();
            call.head(200, List.of());
            call.chunk(ByteString.copyFromUtf8("a"));
            call.chunk(ByteString.copyFromUtf8("b"));
            call.end();
            assertEquals("head 200", response.lines.take());
            assertEquals("chunk 0 a", response.lines.take());
            assertEquals("chunk 1 b", response.lines.take());
            assertEquals("end 2", response.lines.take());
        }

        @Test
        void testMessagesAfterRefusalAreDropped() throws InterruptedException {
            RecordingResponse response = new RecordingResponse();
            WireClient client = client(HELLO);
            client.call(CallStart.newBuilder(), response);
            IncomingCall first = arrived.take();
            first.refuse(AnswerRefused.newBuilder().setCode("overloaded"));
            first.chunk(ByteString.copyFromUtf8("late"));
            first.end();
            RecordingResponse second = new RecordingResponse();
            client.call(CallStart.newBuilder(), second);
            arrived.take().end();
            assertEquals("end 0", second.lines.take());
            assertEquals("refused overloaded", response.lines.take());
            assertTrue(response.lines.isEmpty());
        }

        @Test
        void testCreditAndCancellationReachListener() throws InterruptedException {
            OutgoingCall outgoing = client(HELLO).call(CallStart.newBuilder(), new RecordingResponse());
            RecordingCall callListener = new RecordingCall();
            arrived.take().setListener(callListener);
            outgoing.credit(3);
            outgoing.cancel();
            assertEquals("credit 3", callListener.lines.take());
            assertEquals("cancel", callListener.lines.take());
        }

        @Test
        void testDisconnectCancelsCalls() throws InterruptedException {
            WireClient client = client(HELLO);
            client.call(CallStart.newBuilder(), new RecordingResponse());
            RecordingCall callListener = new RecordingCall();
            arrived.take().setListener(callListener);
            client.close();
            assertEquals("cancel", callListener.lines.take());
        }

        /** Guards against responses that count as sent and are lost when the process stops before they are written. */
        @Test
        void testAServerThatStopsWritesTheResponsesThatHaveEnded() throws Exception {
            CountDownLatch mayRead = new CountDownLatch(1);
            RecordingResponse response = new RecordingResponse() {
                @Override
                public void onChunk(AnswerChunk chunk) {
                    awaitQuietly(mayRead);
                }
            };
            try (WireGroup slowGroup = new WireGroup(1)) {
                new WireClient(slowGroup, HOST, server.port(), () -> HELLO, new IgnoringPeer())
                        .call(CallStart.newBuilder(), response);
                IncomingCall call = arrived.take();
                call.head(200, List.of());
                for (int chunk = 0; chunk < LARGE_CHUNKS; chunk++) {
                    call.chunk(ByteString.copyFrom(new byte[LARGE_CHUNK_BYTES]));
                }
                call.end();
                int port = server.port();
                CompletableFuture<Void> stop = CompletableFuture.runAsync(server::close);
                awaitRefused(port);
                mayRead.countDown();

                assertEquals("head 200", response.lines.take());
                assertEquals("end " + LARGE_CHUNKS, response.lines.take());
                stop.join();
            }
        }

        /** Waits until the server has begun to stop. */
        private void awaitRefused(int port) {
            while (true) {
                try (Socket socket = new Socket(HOST, port)) {
                    Thread.onSpinWait();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void awaitQuietly(CountDownLatch latch) {
            try {
                latch.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Test
        void testConnectionLossReportsWhetherCallWasSent() throws InterruptedException {
            RecordingResponse sent = new RecordingResponse();
            client(HELLO).call(CallStart.newBuilder(), sent);
            arrived.take();
            server.close();
            assertEquals("lost sent", sent.lines.take());
            RecordingResponse unsent = new RecordingResponse();
            client(HELLO).call(CallStart.newBuilder(), unsent);
            assertEquals("lost unsent", unsent.lines.take());
        }
    }

    @Nested
    final class Requests {
        @Test
        void testRequestReceivesReplyOfHandler() {
            router.on(
                    ControlRequest.BodyCase.STATUS,
                    request -> CompletableFuture.completedFuture(ControlReply.newBuilder()
                            .setStatus(StatusReply.newBuilder().setNextOffset(7))));
            ControlReply reply = client(HELLO)
                    .request(ControlRequest.newBuilder().setStatus(StatusRequest.getDefaultInstance()), 30_000)
                    .join();
            assertEquals(7, reply.getStatus().getNextOffset());
        }

        @Test
        void testRequestWithoutHandlerReceivesFailure() {
            ControlReply reply = client(HELLO)
                    .request(ControlRequest.newBuilder().setStatus(StatusRequest.getDefaultInstance()), 30_000)
                    .join();
            assertEquals("protocol-violation", reply.getFailure().getCode());
        }
    }

    @Nested
    final class InvalidPeers {
        private void sendRaw(byte[] bytes) throws IOException {
            try (Socket socket = new Socket(HOST, server.port())) {
                socket.getOutputStream().write(bytes);
                socket.getOutputStream().flush();
                while (socket.getInputStream().read() >= 0) {
                    // Reads until the server closes the connection.
                }
            }
        }

        private void assertOtherPeersAreServed() throws InterruptedException {
            RecordingResponse response = new RecordingResponse();
            client(HELLO).call(CallStart.newBuilder(), response);
            arrived.take().end();
            assertEquals("end 0", response.lines.take());
        }

        @Test
        void testInvalidFrameClosesOnlyItsConnection() throws Exception {
            sendRaw("GET / HTTP/1.1\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            assertTrue(events.take() instanceof PeerRejected);
            assertOtherPeersAreServed();
        }

        @Test
        void testUndecodableMessageClosesConnection() throws Exception {
            sendRaw(new byte[] {0, 0, 0, 3, 127, 127, 127});
            assertTrue(events.take() instanceof PeerRejected);
            assertOtherPeersAreServed();
        }

        @Test
        void testMessageBeforeHelloIsRejected() throws Exception {
            byte[] message = Envelope.newBuilder()
                    .setCallStart(CallStart.getDefaultInstance())
                    .build()
                    .toByteArray();
            byte[] framed = new byte[message.length + 4];
            framed[3] = (byte) message.length;
            System.arraycopy(message, 0, framed, 4, message.length);
            sendRaw(framed);
            assertEquals("the first message is not a hello", ((PeerRejected) events.take()).reason());
            assertTrue(arrived.isEmpty());
        }

        @Test
        void testUnsupportedProtocolVersionIsRejectedBeforeCallRuns() throws Exception {
            RecordingResponse response = new RecordingResponse();
            Hello other = HELLO.toBuilder().setProtocolVersion(99).build();
            client(other).call(CallStart.newBuilder(), response);
            assertEquals("unsupported protocol version 99", ((PeerRejected) events.take()).reason());
            assertTrue(response.lines.take().startsWith("lost"));
            assertTrue(arrived.isEmpty());
            assertOtherPeersAreServed();
        }

        @Test
        void testOversizedMessageIsRejected() throws Exception {
            sendRaw(new byte[] {127, 0, 0, 0, 1});
            assertFalse(events.take() instanceof PeerRejected rejected
                    && rejected.reason().isEmpty());
            assertOtherPeersAreServed();
        }
    }
}
