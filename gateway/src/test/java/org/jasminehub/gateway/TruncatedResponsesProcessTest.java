package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a part of a response that reaches a caller of a process as a complete response: the response had no
 * length, and its connection was reset while the request was still being written.
 */
final class TruncatedResponsesProcessTest {
    /** Calls of each kind; more are made by hand with {@code -Djasminehub.truncated.calls}. */
    private static final int CALLS = Integer.getInteger("jasminehub.truncated.calls", 12);

    private static final double GRACE_SECONDS = 4;
    private static final String EVENT = "id: 1\ndata: e1\n\n";

    /** More than an entry instance buffers of one response, so that its caller gets the begin. */
    private static final String LARGE_PART = "x".repeat(300 << 10);

    @TempDir
    Path directory;

    private final EventLoop storeLoop = new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("store", true), NioIoHandler.newFactory())
            .next();
    private final InMemoryStore store = new InMemoryStore(storeLoop);
    private final Queue<ScriptedEndpoint.Reply> script = new ConcurrentLinkedQueue<>();
    private final Semaphore callerHasPart = new Semaphore(0);
    private ScriptedEndpoint endpoint;
    private GatewayProcess process;

    private void start() throws IOException {
        endpoint = ScriptedEndpoint.replyingEarly(script);
        GatewayHarness.putConfiguration(store, 1, SoakGateway.KEY, EarlyResponseFixture.UPLOAD_BYTES);
        GatewayHarness.putRegistration(store, "a", "e-1", endpoint.port(), "ready", 1);
        process = GatewayProcess.start("entry-1", GatewayProcess.nextHost(), GRACE_SECONDS, store.address(), directory);
        assertTrue(process.awaitReady());
    }

    @AfterEach
    void stop() throws IOException {
        process.kill();
        endpoint.close();
        store.close();
        storeLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private ScriptedEndpoint.Reply resetBehind(String statusAndFields, String part) {
        return (request, socket) -> {
            ScriptedEndpoint.write(socket, EarlyResponseFixture.head(request, statusAndFields) + part);
            callerHasPart.acquireUninterruptibly();
            return ScriptedEndpoint.reset().answer(request, socket);
        };
    }

    /** Makes a call whose response breaks off, and returns all that the caller gets. */
    private String call(String path, String statusAndFields, String part, String awaited) throws IOException {
        script.add(resetBehind(statusAndFields, part));
        try (Socket caller = process.connect()) {
            ScriptedEndpoint.write(
                    caller, EarlyResponseFixture.upload(path).replaceFirst("\r\n", "\r\nConnection: close\r\n"));
            String begun = EarlyResponseFixture.readUntil(caller, awaited);
            // A call that is sent once more is reset as well.
            script.add(ScriptedEndpoint.reset());
            callerHasPart.release();
            String answer = begun + EarlyResponseFixture.readRest(caller);
            script.clear();
            return answer;
        }
    }

    @Test
    void testNoPartOfAResponseIsComplete() throws Exception {
        start();
        List<String> complete = new ArrayList<>();
        for (int call = 0; call < CALLS; call++) {
            for (String answer : List.of(
                    call("/unsafe/x", "200 OK", LARGE_PART, "xx"),
                    call("/safe/x", "200 OK", LARGE_PART, "xx"),
                    call("/stream/x", "200 OK\r\nContent-Type: text/event-stream", EVENT, EVENT))) {
                if (answer.endsWith(EarlyResponseFixture.LAST_CHUNK)) {
                    complete.add("call " + call + ": " + answer.substring(0, answer.indexOf("\r\n\r\n")));
                }
            }
        }
        assertEquals(List.of(), complete);
    }
}
