package org.jasminehub.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.internal.Checks;

/**
 * The I/O threads that all connections of a process share.
 *
 * <pre>{@code
 * try (WireGroup group = new WireGroup(2)) {
 *     WireServer server = WireServer.start(group, ...);
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class WireGroup implements AutoCloseable {
    private static final long QUIET_PERIOD_MILLIS = 0;
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final EventLoopGroup eventLoops;

    /** Starts {@code threadCount} threads, at least 1. */
    public WireGroup(int threadCount) {
        Checks.positive("threadCount", threadCount);
        this.eventLoops = new MultiThreadIoEventLoopGroup(
                threadCount, new DefaultThreadFactory("wire", true), NioIoHandler.newFactory());
    }

    EventLoopGroup eventLoops() {
        return eventLoops;
    }

    @Override
    public void close() {
        eventLoops
                .shutdownGracefully(QUIET_PERIOD_MILLIS, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    }
}
