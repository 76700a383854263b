package org.jasminehub.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.internal.Checks;

/**
 * The threads that all connections of a process share.
 *
 * <pre>{@code
 * try (WireGroup group = new WireGroup(2)) {
 *     WireServer server = WireServer.start(group, ...);
 * }
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class WireGroup implements AutoCloseable {
    private static final long QUIET_MILLIS = 0;
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final EventLoopGroup loops;

    /** Starts {@code threadCount} threads, at least 1. */
    public WireGroup(int threadCount) {
        Checks.positive("threadCount", threadCount);
        this.loops = new MultiThreadIoEventLoopGroup(
                threadCount, new DefaultThreadFactory("wire", true), NioIoHandler.newFactory());
    }

    EventLoopGroup loops() {
        return loops;
    }

    @Override
    public void close() {
        loops.shutdownGracefully(QUIET_MILLIS, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    }
}
