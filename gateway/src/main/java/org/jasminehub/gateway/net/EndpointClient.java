package org.jasminehub.gateway.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import org.jasminehub.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Sends HTTP requests to endpoints over pooled keep-alive connections.
 *
 * <pre>{@code
 * Exchange exchange = client.send(address, request, ConnectionUse.KEPT_OR_NEW, sink, ExchangeMonitor.NONE);
 * }</pre>
 *
 * <p>Used on its event loop only.
 */
public final class EndpointClient {
    /** Several round trips inside a region; needed because a dead machine never answers a connection attempt. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    /** TCP keep-alive: three probes, the first after 1 s of silence, so a dead peer is detected within 4 s. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 3;

    /** Idle limit if the endpoint states none; below the idle timeouts that servers usually have. */
    private static final long DEFAULT_IDLE_LIMIT_MILLIS = 2_000;

    /** Bounds the memory that idle connections use. */
    private static final int MAX_IDLE_PER_ADDRESS = 16;

    private final EventLoop loop;
    private final Clock clock;
    private final Bootstrap bootstrap;
    private final Map<EndpointAddress, Deque<EndpointConnection>> idle = new HashMap<>();
    private final Map<EndpointAddress, Long> idleLimitMillis = new HashMap<>();
    private long connectionsOpened;

    /** Creates a client that has no connections yet. */
    public EndpointClient(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
        this.bootstrap = BoundedReads.applyTo(new Bootstrap())
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                // Distinguishes an end of the connection that was read from all other reasons for which it is closed.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /** Returns the event loop that the client runs on. */
    public EventLoop loop() {
        return loop;
    }

    /** Returns the number of connections that this client has tried to open. */
    public long connectionsOpened() {
        return connectionsOpened;
    }

    /** Sets how long {@code address} keeps idle connections open, as stated by the endpoint. */
    public void setIdleLimit(EndpointAddress address, long limitMillis) {
        // Half of the stated time, so that the endpoint does not close a connection while a request is in transit.
        idleLimitMillis.put(address, limitMillis / 2);
    }

    /** Closes the idle connections to {@code address} and removes its idle limit. */
    public void closeConnections(EndpointAddress address) {
        idleLimitMillis.remove(address);
        Deque<EndpointConnection> pooled = idle.remove(address);
        if (pooled != null) {
            pooled.forEach(EndpointConnection::cancel);
        }
    }

    /** Closes all connections that have been idle for too long. */
    public void closeIdle() {
        long nowMillis = clock.monotonicMillis();
        for (Iterator<Deque<EndpointConnection>> each = idle.values().iterator(); each.hasNext(); ) {
            Deque<EndpointConnection> pooled = each.next();
            pooled.removeIf(connection -> {
                boolean isStale = !connection.isOpen() || connection.isIdleTooLong(nowMillis);
                if (isStale) {
                    connection.cancel();
                }
                return isStale;
            });
            if (pooled.isEmpty()) {
                each.remove();
            }
        }
    }

    /**
     * Sends {@code request}; the response is passed to {@code sink}, never before this method has returned.
     *
     * @param monitor checks once more before the request is written, and receives the heads of all responses
     */
    public Exchange send(
            EndpointAddress address,
            FullHttpRequest request,
            ConnectionUse use,
            ResponseSink sink,
            ExchangeMonitor monitor) {
        PendingExchange exchange = new PendingExchange(sink, monitor);
        EndpointConnection pooled = use == ConnectionUse.NEW ? null : pollIdle(address);
        if (pooled != null) {
            loop.execute(() -> exchange.start(pooled, request));
            return exchange;
        }
        connectionsOpened++;
        Deque<EndpointConnection> opened = new ArrayDeque<>(1);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        StrictResponseDecoder decoder = new StrictResponseDecoder();
                        EndpointConnection connection =
                                new EndpointConnection(decoder, reusable -> addIdle(address, reusable));
                        opened.add(connection);
                        channel.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
                    }
                })
                .connect(address.host(), address.port());
        connecting.addListener(connected -> {
            if (connected.isSuccess()) {
                exchange.start(opened.remove(), request);
            } else {
                request.release();
                exchange.onFailure(ExchangeFailure.NOT_CONNECTED);
            }
        });
        exchange.onCancel(() -> connecting.channel().close());
        return exchange;
    }

    /** Determines whether {@code address} accepts connections; opens one and closes it without a request. */
    public void checkListening(EndpointAddress address, Consumer<Boolean> result) {
        connectionsOpened++;
        bootstrap
                .clone()
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address.host(), address.port())
                .addListener((ChannelFutureListener) connected -> {
                    connected.channel().close();
                    result.accept(connected.isSuccess());
                });
    }

    private @Nullable EndpointConnection pollIdle(EndpointAddress address) {
        Deque<EndpointConnection> pooled = idle.get(address);
        long nowMillis = clock.monotonicMillis();
        while (pooled != null && !pooled.isEmpty()) {
            EndpointConnection connection = pooled.pollLast();
            if (connection.isOpen() && !connection.isIdleTooLong(nowMillis)) {
                return connection;
            }
            connection.cancel();
        }
        return null;
    }

    private void addIdle(EndpointAddress address, EndpointConnection connection) {
        Deque<EndpointConnection> pooled = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
        if (pooled.size() >= MAX_IDLE_PER_ADDRESS) {
            connection.cancel();
            return;
        }
        connection.markIdle(clock.monotonicMillis(), idleLimitMillis.getOrDefault(address, DEFAULT_IDLE_LIMIT_MILLIS));
        pooled.addLast(connection);
    }
}
