package org.jasminehub.gateway.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.jasminehub.core.intake.ConnectionLimiter;
import org.jasminehub.core.serving.CallerLimits;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.runtime.time.SystemClock;

/**
 * Accepts callers' connections and rejects requests that are malformed or ambiguous.
 *
 * <pre>{@code
 * CallerServer server = CallerServer.start(loop, address, () -> limits, resources, handler, onMalformed);
 * }</pre>
 *
 * <p>All connections run on the event loop that is passed to {@link #start}.
 */
public final class CallerServer {
    /** Large, because all callers reconnect at the same time after a restart of the process. */
    private static final int BACKLOG = 1024;

    /** The delays that refused callers are told in turn, so that they do not all return at the same time. */
    private static final long MIN_RETRY_AFTER_MILLIS = 500;

    private static final long RETRY_AFTER_STEP_MILLIS = 50;
    private static final int RETRY_AFTER_STEPS = 11;

    private final ServerResources resources;
    private final CallerHandler handler;
    private final BiConsumer<Integer, String> onMalformed;
    private final Set<Channel> open = new HashSet<>();
    private final ConnectionLimiter<Channel> limiter;
    private final Channel listening;
    private int refusals;
    private boolean isStopping;

    private CallerServer(
            EventLoop loop,
            EndpointAddress address,
            Supplier<CallerLimits> limits,
            ServerResources resources,
            CallerHandler handler,
            BiConsumer<Integer, String> onMalformed) {
        this.resources = resources;
        this.limiter = new ConnectionLimiter<>(resources.maxConnections());
        this.handler = handler;
        this.onMalformed = onMalformed;
        ChannelFuture binding = BoundedReads.applyTo(new ServerBootstrap())
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        CallerConnection connection = new CallerConnection(CallerServer.this, limits.get());
                        channel.pipeline().addLast(connection.decoder(), new HttpResponseEncoder(), connection);
                    }
                })
                .bind(address.host(), address.port())
                .awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new PlatformException("listener", "cannot bind " + address, binding.cause());
        }
        this.listening = binding.channel();
    }

    /**
     * Starts listening; port 0 selects a free port.
     *
     * @param limits the limits on requests, read for each new connection
     * @param resources what all clients together may use up
     * @param onMalformed called with the status and the reason of each rejected request
     */
    public static CallerServer start(
            EventLoop loop,
            EndpointAddress address,
            Supplier<CallerLimits> limits,
            ServerResources resources,
            CallerHandler handler,
            BiConsumer<Integer, String> onMalformed) {
        return new CallerServer(loop, address, limits, resources, handler, onMalformed);
    }

    /** Starts listening like the other method, for clients that are part of this system. */
    public static CallerServer start(
            EventLoop loop,
            EndpointAddress address,
            Supplier<CallerLimits> limits,
            CallerHandler handler,
            BiConsumer<Integer, String> onMalformed) {
        return start(loop, address, limits, ServerResources.unlimited(new SystemClock()), handler, onMalformed);
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /** Returns the number of open connections. */
    public int connections() {
        return open.size();
    }

    /** Returns how many connections were closed because there were too many. */
    public long connectionsOverLimit() {
        return limiter.closed();
    }

    /** Returns the number of connections with a request that was read and has no completely written response yet. */
    public int unansweredConnections() {
        return (int) open.stream()
                .filter(channel ->
                        channel.pipeline().get(CallerConnection.class).isAnswerDue())
                .count();
    }

    /**
     * Makes every response whose head is not sent yet the last one on its connection.
     *
     * <p>Idle connections stay open, because requests on them may be in transit.
     */
    public void disableKeepAlive() {
        isStopping = true;
    }

    /** Closes the connections that have had no request in progress for a while. */
    public void closeIdle() {
        for (Channel channel : List.copyOf(open)) {
            channel.pipeline().get(CallerConnection.class).closeIfIdle(channel);
        }
    }

    /** Closes the connections on which every request that was read has its response. */
    public void closeAnswered() {
        for (Channel channel : List.copyOf(open)) {
            channel.pipeline().get(CallerConnection.class).closeIfAnswered(channel);
        }
    }

    /** Accepts no further connections. */
    public void stopListening() {
        listening.close();
    }

    /** Stops listening and closes all connections. */
    public void close() {
        stopListening();
        List.copyOf(open).forEach(Channel::close);
    }

    CallerHandler handler() {
        return handler;
    }

    boolean isStopping() {
        return isStopping;
    }

    void onMalformed(int status, String reason) {
        onMalformed.accept(status, reason);
    }

    ServerResources resources() {
        return resources;
    }

    /** Returns the delay after which the next caller that is refused for lack of memory should retry. */
    long retryAfterMillis() {
        refusals = (refusals + 1) % RETRY_AFTER_STEPS;
        return MIN_RETRY_AFTER_MILLIS + refusals * RETRY_AFTER_STEP_MILLIS;
    }

    void onOpened(Channel channel) {
        open.add(channel);
        limiter.add(channel).ifPresent(Channel::close);
    }

    void onProgress(Channel channel) {
        limiter.onProgress(channel);
    }

    void onRequest(Channel channel) {
        limiter.onRequest(channel);
    }

    void onResponse(Channel channel) {
        limiter.onResponse(channel);
    }

    void onClosed(Channel channel) {
        open.remove(channel);
        limiter.remove(channel);
    }
}
