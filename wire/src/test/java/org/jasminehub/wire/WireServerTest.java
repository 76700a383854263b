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

    /** Collects an answer as text lines. */
    private static final class Answer implements AnswerListener {
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
        public void onLost(boolean sent) {
            lines.add("lost " + (sent ? "sent" : "unsent"));
        }
    }

    /** Notes what an incoming call hears. */
    private static final class Control implements CallListener {
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
        void testAnswerArrivesInOrderWithItsCount() throws InterruptedException {
            Answer answer = new Answer();
            client(HELLO).call(CallStart.newBuilder(), answer);
            IncomingCall call = arrived.take();
            call.head(200, List.of());
            call.chunk(ByteString.copyFromUtf8("a"));
            call.chunk(ByteString.copyFromUtf8("b"));
            call.end();
            assertEquals("head 200", answer.lines.take());
            assertEquals("chunk 0 a", answer.lines.take());
            assertEquals("chunk 1 b", answer.lines.take());
            assertEquals("end 2", answer.lines.take());
        }

        @Test
        void testNothingFollowsARefusal() throws InterruptedException {
            Answer answer = new Answer();
            WireClient client = client(HELLO);
            client.call(CallStart.newBuilder(), answer);
            IncomingCall first = arrived.take();
            first.refuse(AnswerRefused.newBuilder().setCode("overloaded"));
            first.chunk(ByteString.copyFromUtf8("late"));
            first.end();
            Answer second = new Answer();
            client.call(CallStart.newBuilder(), second);
            arrived.take().end();
            assertEquals("end 0", second.lines.take());
            assertEquals("refused overloaded", answer.lines.take());
            assertTrue(answer.lines.isEmpty());
        }

        @Test
        void testCreditAndCancelReachTheCall() throws InterruptedException {
            OutgoingCall outgoing = client(HELLO).call(CallStart.newBuilder(), new Answer());
            Control control = new Control();
            arrived.take().listen(control);
            outgoing.credit(3);
            outgoing.cancel();
            assertEquals("credit 3", control.lines.take());
            assertEquals("cancel", control.lines.take());
        }

        @Test
        void testCallerThatDisconnectsCancelsItsCalls() throws InterruptedException {
            WireClient client = client(HELLO);
            client.call(CallStart.newBuilder(), new Answer());
            Control control = new Control();
            arrived.take().listen(control);
            client.close();
            assertEquals("cancel", control.lines.take());
        }

        @Test
        void testLossAfterSendingIsToldFromLossBefore() throws InterruptedException {
            Answer sent = new Answer();
            client(HELLO).call(CallStart.newBuilder(), sent);
            arrived.take();
            server.close();
            assertEquals("lost sent", sent.lines.take());
            Answer unsent = new Answer();
            client(HELLO).call(CallStart.newBuilder(), unsent);
            assertEquals("lost unsent", unsent.lines.take());
        }
    }

    @Nested
    final class Requests {
        @Test
        void testRequestGetsTheReplyOfItsHandler() {
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
        void testRequestWithoutHandlerGetsATypedFailure() {
            ControlReply reply = client(HELLO)
                    .request(ControlRequest.newBuilder().setStatus(StatusRequest.getDefaultInstance()), 30_000)
                    .join();
            assertEquals("protocol-violation", reply.getFailure().getCode());
        }
    }

    @Nested
    final class BadPeers {
        private void sendRaw(byte[] bytes) throws IOException {
            try (Socket socket = new Socket(HOST, server.port())) {
                socket.getOutputStream().write(bytes);
                socket.getOutputStream().flush();
                while (socket.getInputStream().read() >= 0) {
                    // Reads until the server closes the connection.
                }
            }
        }

        private void assertOthersAreServed() throws InterruptedException {
            Answer answer = new Answer();
            client(HELLO).call(CallStart.newBuilder(), answer);
            arrived.take().end();
            assertEquals("end 0", answer.lines.take());
        }

        @Test
        void testGarbageClosesOnlyItsOwnConnection() throws Exception {
            sendRaw("GET / HTTP/1.1\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            assertTrue(events.take() instanceof PeerRejected);
            assertOthersAreServed();
        }

        @Test
        void testBytesThatAreNoMessageCloseTheConnection() throws Exception {
            sendRaw(new byte[] {0, 0, 0, 3, 127, 127, 127});
            assertTrue(events.take() instanceof PeerRejected);
            assertOthersAreServed();
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
            assertEquals("no hello", ((PeerRejected) events.take()).reason());
            assertTrue(arrived.isEmpty());
        }

        @Test
        void testOtherProtocolVersionIsRejectedAndItsCallNeverRuns() throws Exception {
            Answer answer = new Answer();
            Hello other = HELLO.toBuilder().setProtocolVersion(99).build();
            client(other).call(CallStart.newBuilder(), answer);
            assertEquals("protocol version 99", ((PeerRejected) events.take()).reason());
            assertTrue(answer.lines.take().startsWith("lost"));
            assertTrue(arrived.isEmpty());
            assertOthersAreServed();
        }

        @Test
        void testOversizedMessageIsRejected() throws Exception {
            sendRaw(new byte[] {127, 0, 0, 0, 1});
            assertFalse(events.take() instanceof PeerRejected rejected
                    && rejected.reason().isEmpty());
            assertOthersAreServed();
        }
    }
}
