package org.jasminehub.agent.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jasminehub.platform.http.Address;
import org.jasminehub.wire.generated.CallStart;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a broken response of an endpoint that an agent takes for a complete one. */
@Timeout(60)
final class EndpointClientTest {
    private static final String PART = "part";

    /** Far more than the buffers of the operating system hold if the endpoint does not read. */
    private static final int UPLOAD_BYTES = 16 << 20;

    /** Leaves no room for a large body, so that its sender has to wait. */
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 8 << 10;

    /** What an endpoint does with a connection on which it has read the head of a request. */
    @FunctionalInterface
    private interface Reply {
        void answer(Socket socket) throws IOException, InterruptedException;
    }

    private final CountDownLatch isPartRead = new CountDownLatch(1);
    private ActorSystem<Void> system;
    private ServerSocket listener;

    @BeforeEach
    void start() throws IOException {
        system = ActorSystem.create(Behaviors.empty(), "test");
        listener = new ServerSocket();
        listener.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void stop() throws IOException {
        listener.close();
        system.terminate();
    }

    private void serve(Reply reply) {
        Thread thread = new Thread(
                () -> {
                    try (Socket socket = listener.accept()) {
                        InputStream in = socket.getInputStream();
                        StringBuilder head = new StringBuilder();
                        while (head.indexOf("\r\n\r\n") < 0) {
                            int value = in.read();
                            if (value < 0) {
                                return;
                            }
                            head.append((char) value);
                        }
                        reply.answer(socket);
                    } catch (IOException | InterruptedException e) {
                        // The client has closed the connection, or the test is over.
                    }
                },
                "endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends a request with a body of {@code uploadBytes} and returns the body of the response. */
    private String call(int uploadBytes) {
        EndpointClient client = new EndpointClient(system, new Address("127.0.0.1", listener.getLocalPort()));
        HttpResponse response = client.send(CallStart.newBuilder()
                        .setPath("/x")
                        .setMethod("POST")
                        .setBody(ByteString.copyFrom(new byte[uploadBytes]))
                        .build())
                .toCompletableFuture()
                .join();
        return response.entity()
                .getDataBytes()
                .map(part -> {
                    isPartRead.countDown();
                    return part;
                })
                .runFold("", (text, part) -> text + part.utf8String(), system)
                .toCompletableFuture()
                .join();
    }

    /** Responses without a length that break off while the request is being written. */
    @Nested
    final class DuringAnUpload {
        private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";

        @ParameterizedTest
        @ValueSource(ints = {1, UPLOAD_BYTES})
        void testAResetIsNoEnd(int uploadBytes) {
            serve(socket -> {
                write(socket, HEAD + PART);
                isPartRead.await(1, TimeUnit.MINUTES);
                socket.setSoLinger(true, 0);
            });

            assertThrows(CompletionException.class, () -> call(uploadBytes));
        }

        @Test
        void testTheEndOfTheClientIsNoEnd() {
            serve(socket -> {
                write(socket, HEAD + PART);
                isPartRead.await(1, TimeUnit.MINUTES);
                system.terminate();
                socket.getInputStream().readAllBytes();
            });

            assertThrows(CompletionException.class, () -> call(1));
        }

        @ParameterizedTest
        @ValueSource(ints = {1, UPLOAD_BYTES})
        void testAnEndOfTheConnectionCompletesTheResponse(int uploadBytes) {
            serve(socket -> {
                write(socket, HEAD + PART);
                socket.shutdownOutput();
                socket.getInputStream().readAllBytes();
            });

            assertEquals(PART, call(uploadBytes));
        }
    }

    /** Lines of a head that are none of the protocol. */
    @Nested
    final class Heads {
        private static final String REST = "\r\nContent-Length: 4\r\n\r\n" + PART;

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 000 Zero",
                    "HTTP/1.1 000",
                    "HTTP/1.1 0 Zero",
                    "HTTP/1.1 099 X",
                    "HTTP/1.1 0200 OK",
                    "HTTP/1.1 +200 OK",
                    "HTTP/1.1 2000 OK",
                    "HTTP/1.1  200 OK",
                    "HTTP/1.1\t200 OK",
                    " HTTP/1.1 200 OK",
                    "\r\nHTTP/1.1 200 OK",
                    "HTTP/1.1 200 OK\r\nX Odd: v",
                    "HTTP/1.1 200 OK\r\nX-Odd : v",
                    "HTTP/1.1 200 OK\r\nX-Odd\t: v",
                    "HTTP/1.1 200 OK\r\n X-Odd: v",
                    "HTTP/1.1 200 OK\r\nX-Odd",
                    "HTTP/1.1 200 OK\r\nX-Odd ",
                    "HTTP/1.1 200 OK\r\nX\u0000Odd: v",
                    "HTTP/1.1 200 OK\r\nX\u0001Odd: v",
                    "HTTP/1.1 200 OK\r\nX\u007fOdd: v",
                    "HTTP/1.1 200 OK\r\nX\rOdd: v",
                    "HTTP/1.1 200 OK\r\nContent Length: 1",
                    "HTTP/1.1 200 OK\r\nContent-Length : 1",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked",
                    "HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n\r\nHTTP/1.1 200 OK",
                })
        void testALineThatIsNotOfTheProtocolIsNoResponse(String head) {
            serve(socket -> {
                write(socket, head + REST);
                socket.shutdownOutput();
                socket.getInputStream().readAllBytes();
            });

            assertThrows(CompletionException.class, () -> call(1));
        }

        @ParameterizedTest
        @ValueSource(strings = {"X Odd: v", "X-Odd : v", "X-Odd", "X\u0000Odd: v"})
        void testALineThatIsNoTrailerIsNoResponse(String trailer) {
            serve(socket -> {
                write(
                        socket,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX-Even: v\r\n" + trailer
                                + "\r\n\r\n");
                socket.shutdownOutput();
                socket.getInputStream().readAllBytes();
            });

            assertThrows(CompletionException.class, () -> call(1));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK",
                    "HTTP/1.0 200 OK",
                    "HTTP/1.1 200",
                    "HTTP/1.1 200  two blanks before",
                    "HTTP/1.1 200 OK\r\nX-Odd:v",
                    "HTTP/1.1 200 OK\r\nX-Odd: \t v \t "
                })
        void testAHeadOfTheProtocolIsAccepted(String head) {
            serve(socket -> {
                write(socket, head + REST);
                socket.shutdownOutput();
                socket.getInputStream().readAllBytes();
            });

            assertEquals(PART, call(1));
        }
    }
}
