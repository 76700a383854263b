package org.jasminehub.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jasminehub.core.serving.CallerLimits;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.runtime.time.SystemClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests whose endpoint becomes unavailable after the choice and before the request is written. */
final class ExchangeMonitorTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    private final AtomicInteger requests = new AtomicInteger();
    private EventLoop loop;
    private BufferedHttpClient client;
    private boolean isAllowed = true;

    @BeforeEach
    void start() {
        loop = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("client", true), NioIoHandler.newFactory())
                .next();
        CallerServer server = CallerServer.start(
                loop,
                new EndpointAddress("127.0.0.1", 0),
                () -> CallerLimits.DEFAULT,
                (request, response) -> {
                    requests.incrementAndGet();
                    response.complete(HttpResponseStatus.OK, new DefaultHttpHeaders(false), new byte[] {1});
                    return CallerExchange.COMPLETED;
                },
                (status, reason) -> {});
        client = new BufferedHttpClient(
                new EndpointClient(loop, new SystemClock()),
                new EndpointAddress("127.0.0.1", server.port()),
                "endpoint",
                new ExchangeMonitor() {
                    @Override
                    public boolean maySend() {
                        return isAllowed;
                    }

                    @Override
                    public void onHead(HttpResponseStatus status, HttpHeaders headers) {
                        // These tests look at requests only.
                    }
                });
    }

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** Sends a request and forbids it before the event loop can have written it. */
    private CompletableFuture<BufferedHttpClient.Response> sendAndForbid() {
        CompletableFuture<BufferedHttpClient.Response> result = new CompletableFuture<>();
        loop.execute(() -> {
            isAllowed = true;
            client.call("GET", "/", "", new byte[0], TIMEOUT_MILLIS).whenComplete((response, failure) -> {
                if (failure == null) {
                    result.complete(response);
                } else {
                    result.completeExceptionally(failure);
                }
            });
            isAllowed = false;
        });
        return result;
    }

    private void assertWithheld() {
        CompletionException failure =
                assertThrows(CompletionException.class, () -> sendAndForbid().join());
        PlatformException cause = assertInstanceOf(PlatformException.class, failure.getCause());
        assertNotNull(cause.getMessage());
        assertEquals("endpoint: WITHHELD", cause.getMessage());
    }

    @Test
    void testARequestIsNotWrittenToANewConnection() {
        assertWithheld();

        assertEquals(0, requests.get());
    }

    @Test
    void testARequestIsNotWrittenToAPooledConnection() {
        CompletableFuture<Integer> first = new CompletableFuture<>();
        loop.execute(() -> client.call("GET", "/", "", new byte[0], TIMEOUT_MILLIS)
                .thenAccept(response -> first.complete(response.status())));
        assertEquals(200, first.join());

        assertWithheld();

        assertEquals(1, requests.get());
    }
}
