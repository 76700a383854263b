package org.jasminehub.entry.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.entry.control.ControlState;
import org.jasminehub.entry.filter.RequestMatcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class CallerServerTest {
    private static final String HOST = "127.0.0.1";
    private static final long POLL_NANOS = 5_000_000;

    /** More than the buffers of both ends of a connection hold. */
    private static final int LARGE_BODY_BYTES = 32 << 20;

    private final ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "test");

    @AfterEach
    void stop() {
        system.terminate();
    }

    private CallerServer start(HttpResponse response) {
        return new CallerServer(
                system,
                HOST,
                0,
                new RequestReader(new ManualClock(0), () -> new RequestId("r-1")),
                new RequestMatcher(ControlState::empty),
                context -> CompletableFuture.failedFuture(
                        new RequestException(ErrorCode.ROUTE_UNKNOWN, Outcome.NOT_RUN, "no route")),
                Map.of("/large", request -> CompletableFuture.completedFuture(response)),
                event -> {},
                1_000);
    }

    /** Guards against responses that count as sent and are cut when the process stops before they are written. */
    @Test
    void testAResponseThatIsBeingReadIsCompleteAlthoughTheServerIsClosed() throws Exception {
        CallerServer server = start(HttpResponse.create().withEntity(new byte[LARGE_BODY_BYTES]));
        try (Socket caller = new Socket(HOST, server.port())) {
            caller.getOutputStream()
                    .write("GET /large HTTP/1.1\r\nHost: h.example\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            while (caller.getInputStream().available() == 0) {
                LockSupport.parkNanos(POLL_NANOS);
            }
            CompletableFuture<Void> stop = CompletableFuture.runAsync(server::closeWhenWritten);
            awaitRefused(server.port());

            long received = 0;
            try {
                byte[] part = new byte[1 << 16];
                for (int count = caller.getInputStream().read(part); count >= 0; ) {
                    received += count;
                    count = caller.getInputStream().read(part);
                }
            } catch (SocketException e) {
                // The server resets a connection that it closes; the response may be complete by then.
                assertTrue(received > LARGE_BODY_BYTES, e + " after " + received + " bytes");
            }
            stop.join();
            assertTrue(received > LARGE_BODY_BYTES, "received " + received);
        }
    }

    private static void awaitRefused(int port) {
        while (true) {
            try (Socket socket = new Socket(HOST, port)) {
                Thread.onSpinWait();
            } catch (IOException e) {
                return;
            }
        }
    }
}
