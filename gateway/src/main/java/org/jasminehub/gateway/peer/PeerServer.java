package org.jasminehub.gateway.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import org.jasminehub.core.intake.ConnectionLimiter;
import org.jasminehub.gateway.net.BoundedReads;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.wire.generated.PeerEnvelope;

/** Accepts connections from other processes of this system. */
public final class PeerServer {
    private final Channel channel;

    private PeerServer(Channel channel) {
        this.channel = channel;
    }

    /**
     * Starts listening; port 0 selects a free port. Beyond the allowed connections, the one that has sent no message
     * for longest is closed.
     *
     * @throws PlatformException if the address cannot be bound
     */
    public static PeerServer start(EventLoop loop, EndpointAddress address, PeerListener listener, PeerLimits limits) {
        PeerListener limited = new LimitedListener(listener, limits.maxConnections());
        ChannelFuture binding = BoundedReads.applyTo(new ServerBootstrap())
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        PeerConnection.installAccepted(accepted, limited, limits);
                    }
                })
                .bind(address.host(), address.port())
                .awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new PlatformException("peer listener", "cannot bind " + address, binding.cause());
        }
        return new PeerServer(binding.channel());
    }

    /** Closes the connection that has sent no message for longest if there are too many. */
    private static final class LimitedListener implements PeerListener {
        private final PeerListener target;
        private final ConnectionLimiter<PeerConnection> limiter;

        LimitedListener(PeerListener target, int maxConnections) {
            this.target = target;
            this.limiter = new ConnectionLimiter<>(maxConnections);
        }

        @Override
        public void onConnected(PeerConnection connection) {
            target.onConnected(connection);
            limiter.add(connection).ifPresent(PeerConnection::close);
        }

        @Override
        public void onMessage(PeerConnection connection, PeerEnvelope message) {
            limiter.onRequest(connection);
            target.onMessage(connection, message);
            limiter.onResponse(connection);
        }

        @Override
        public void onClosed(PeerConnection connection) {
            limiter.remove(connection);
            target.onClosed(connection);
        }
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Stops listening; accepted connections stay open. */
    public void close() {
        channel.close();
    }
}
