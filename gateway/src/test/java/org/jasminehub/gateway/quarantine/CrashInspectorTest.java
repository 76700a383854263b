package org.jasminehub.gateway.quarantine;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.quarantine.CrashSuspect;
import org.jasminehub.core.quarantine.EndpointCrash;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.platform.PlatformException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the inspection of an endpoint that has cut several calls. */
@Timeout(60)
final class CrashInspectorTest {
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("inspector", true), NioIoHandler.newFactory())
            .next();
    private final CountDownLatch continued = new CountDownLatch(1);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** Returns an endpoint that accepts no connections. */
    private static EndpointRecord absentEndpoint() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new EndpointRecord(
                    new EndpointId("e-1"),
                    1,
                    "plain",
                    "127.0.0.1",
                    socket.getLocalPort(),
                    new FailureDomain("a"),
                    4,
                    false,
                    null);
        }
    }

    private void inspect(Consumer<EndpointCrash> onCrash, Runnable... continuations) throws IOException {
        EndpointRecord endpoint = absentEndpoint();
        CrashInspector inspector = new CrashInspector(new EndpointClient(loop, new ManualClock(0)), onCrash);
        loop.execute(() -> {
            for (Runnable continuation : continuations) {
                inspector.inspect(endpoint, new CrashSuspect("r", Set.of(), "digest", 0), continuation);
            }
        });
    }

    private static void fail() {
        throw new PlatformException("inspection", "cause", null);
    }

    /** Guards against calls that stay open without an attempt because another call on the endpoint failed. */
    @Test
    void testACallThatFailsAfterTheInspectionDoesNotStopTheOthers() throws Exception {
        inspect(crash -> {}, CrashInspectorTest::fail, continued::countDown);
        continued.await();
    }

    /** Guards against calls that stay open without an attempt because the crash could not be reported. */
    @Test
    void testACrashThatCannotBeReportedDoesNotStopTheCalls() throws Exception {
        inspect(crash -> fail(), continued::countDown);
        continued.await();
    }
}
