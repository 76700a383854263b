package org.jasminehub.gateway.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import org.jasminehub.gateway.net.BoundedReads;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.platform.PlatformException;

/** Accepts connections from other processes of this system. */
public final class PeerServer {
    private final Channel channel;

    private PeerServer(Channel channel) {
        this.channel = channel;
    }

    /**
     * Starts listening; port 0 selects a free port.
     *
     * @throws PlatformException if the address cannot be bound
     */
    public static PeerServer start(EventLoop loop, EndpointAddress address, PeerListener listener) {
        ChannelFuture binding = BoundedReads.applyTo(new ServerBootstrap())
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        PeerConnection.install(accepted, listener);
                    }
                })
                .bind(address.host(), address.port())
                .awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new PlatformException("peer listener", "cannot bind " + address, binding.cause());
        }
        return new PeerServer(binding.channel());
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
