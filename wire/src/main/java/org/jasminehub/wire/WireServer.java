package org.jasminehub.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.wire.generated.EndpointLoad;
import org.jasminehub.wire.generated.Envelope;
import org.jasminehub.wire.generated.Hello;

/**
 * Accepts connections from peers and passes on their calls and control requests.
 *
 * <pre>{@code
 * WireServer server = WireServer.start(group, "127.0.0.1", 0, hello, callHandler, controlHandler, events);
 * int port = server.port();
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class WireServer implements AutoCloseable {
    /** Time in which the messages already sent are written; a peer that does not read must not delay a stop for long. */
    private static final long WRITE_TIMEOUT_MILLIS = 2_000;

    private final Supplier<Hello> hello;
    private final Set<ServerConnection> connections;
    private final Channel channel;

    private WireServer(Supplier<Hello> hello, Set<ServerConnection> connections, Channel channel) {
        this.hello = hello;
        this.connections = connections;
        this.channel = channel;
    }

    /**
     * Starts a server on {@code host} and {@code port}; port 0 selects a free port.
     *
     * @throws WireException if the port cannot be bound
     */
    public static WireServer start(
            WireGroup group,
            String host,
            int port,
            Supplier<Hello> hello,
            CallHandler callHandler,
            ControlHandler controlHandler,
            EventSink events) {
        Set<ServerConnection> openConnections = ConcurrentHashMap.newKeySet();
        ChannelFuture binding = new ServerBootstrap()
                .group(group.eventLoops())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        WireProtocol.addCodec(accepted.pipeline());
                        accepted.pipeline()
                                .addLast(new ServerConnection(
                                        hello, callHandler, controlHandler, events, openConnections));
                    }
                })
                .bind(host, port)
                .awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new WireException("cannot bind " + host + ":" + port, binding.cause());
        }
        return new WireServer(hello, openConnections, binding.channel());
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Sends {@code load} to every connected peer. */
    public void broadcastLoad(EndpointLoad load) {
        Envelope message = Envelope.newBuilder().setEndpointLoad(load).build();
        connections.forEach(connection -> connection.send(message));
    }

    /** Sends an updated hello to every connected peer, for example when this process starts to leave. */
    public void broadcastHello() {
        Envelope message = Envelope.newBuilder().setHello(hello.get()).build();
        connections.forEach(connection -> connection.send(message));
    }

    /** Stops listening and closes all connections once the messages already sent on them are written. */
    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        long startNanos = System.nanoTime();
        List<ChannelFuture> closing =
                connections.stream().map(ServerConnection::closeWhenWritten).toList();
        for (ChannelFuture connection : closing) {
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            connection.awaitUninterruptibly(Math.max(0, WRITE_TIMEOUT_MILLIS - elapsedMillis));
        }
        connections.forEach(ServerConnection::close);
    }
}
