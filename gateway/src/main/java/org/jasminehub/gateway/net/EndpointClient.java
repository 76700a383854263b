package org.jasminehub.gateway.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import jdk.net.ExtendedSocketOptions;
import org.jasminehub.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges requests and answers with endpoints over kept connections.
 *
 * <pre>{@code
 * Exchange exchange = client.send(address, request, ConnectionUse.KEPT_OR_NEW, sink);
 * }</pre>
 *
 * <p>Used on its event loop only.
 */
public final class EndpointClient {
    /** Several round trips inside a region; a dead machine answers no connection attempt at all. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    /** Probes on silent connections: the first after a second, three of them, so a dead peer shows in 4 s. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 3;

    /** How long a connection may be idle where the endpoint states no limit: below the usual limits of servers. */
    private static final long UNSTATED_IDLE_MILLIS = 2_000;

    /** How many idle connections to an address are worth their memory. */
    private static final int MAX_IDLE_PER_ADDRESS = 16;

    private final EventLoop loop;
    private final Clock clock;
    private final Bootstrap bootstrap;
    private final Map<EndpointAddress, Deque<EndpointConnection>> idle = new HashMap<>();
    private final Map<EndpointAddress, Long> idleLimitMillis = new HashMap<>();
    private long connectionsOpened;

    /** Creates a client without connections. */
    public EndpointClient(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /** Returns the event loop that the client works on. */
    public EventLoop loop() {
        return loop;
    }

    /** Returns how many connections were opened so far. */
    public long connectionsOpened() {
        return connectionsOpened;
    }

    /** Notes for how long {@code address} keeps idle connections, by its own word. */
    public void keepIdle(EndpointAddress address, long limitMillis) {
        // Half of what is stated: a request must not meet the close on its way.
        idleLimitMillis.put(address, limitMillis / 2);
    }

    /** Closes the idle connections to {@code address}. */
    public void forget(EndpointAddress address) {
        idleLimitMillis.remove(address);
        Deque<EndpointConnection> kept = idle.remove(address);
        if (kept != null) {
            kept.forEach(EndpointConnection::cancel);
        }
    }

    /** Closes all connections that were idle for too long. */
    public void closeIdle() {
        long nowMillis = clock.monotonicMillis();
        for (Iterator<Deque<EndpointConnection>> each = idle.values().iterator(); each.hasNext(); ) {
            Deque<EndpointConnection> kept = each.next();
            kept.removeIf(connection -> {
                boolean isStale = !connection.isOpen() || connection.isIdleTooLong(nowMillis);
                if (isStale) {
                    connection.cancel();
                }
                return isStale;
            });
            if (kept.isEmpty()) {
                each.remove();
            }
        }
    }

    /** Sends {@code request} and passes the answer to {@code sink}, never before this method returns. */
    public Exchange send(EndpointAddress address, FullHttpRequest request, ConnectionUse use, AnswerSink sink) {
        PendingExchange exchange = new PendingExchange(sink);
        EndpointConnection kept = use == ConnectionUse.NEW ? null : takeIdle(address);
        if (kept != null) {
            loop.execute(() -> exchange.start(kept, request));
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
                                new EndpointConnection(decoder, reusable -> keep(address, reusable));
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

    private @Nullable EndpointConnection takeIdle(EndpointAddress address) {
        Deque<EndpointConnection> kept = idle.get(address);
        long nowMillis = clock.monotonicMillis();
        while (kept != null && !kept.isEmpty()) {
            EndpointConnection connection = kept.pollLast();
            if (connection.isOpen() && !connection.isIdleTooLong(nowMillis)) {
                return connection;
            }
            connection.cancel();
        }
        return null;
    }

    private void keep(EndpointAddress address, EndpointConnection connection) {
        Deque<EndpointConnection> kept = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
        if (kept.size() >= MAX_IDLE_PER_ADDRESS) {
            connection.cancel();
            return;
        }
        connection.markIdle(clock.monotonicMillis(), idleLimitMillis.getOrDefault(address, UNSTATED_IDLE_MILLIS));
        kept.addLast(connection);
    }
}
