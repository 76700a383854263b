package org.jasminehub.gateway.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.TimeUnit;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/** Keeps a connection to another process up for as long as it is wanted. Used on its event loop only. */
public final class PeerLink implements PeerListener {
    /** Several round trips inside a region. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /** The pause before another connection is tried; a restarted process listens after about a second. */
    private static final long RECONNECT_MILLIS = 300;

    private final EventLoop loop;
    private final EndpointAddress address;
    private final PeerListener listener;
    private @Nullable PeerConnection connection;
    private boolean isClosed;

    /** Creates a link to {@code address} that starts to connect at once. */
    public PeerLink(EventLoop loop, EndpointAddress address, PeerListener listener) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        connect();
    }

    /** Returns where it connects to. */
    public EndpointAddress address() {
        return address;
    }

    /** Returns whether the connection is up. */
    public boolean isUp() {
        return connection != null;
    }

    /** Sends {@code message} if the connection is up, and returns whether it is. */
    public boolean send(PeerEnvelope message) {
        PeerConnection open = connection;
        if (open == null) {
            return false;
        }
        open.send(message);
        return true;
    }

    /** Closes the link for good. */
    public void close() {
        isClosed = true;
        if (connection != null) {
            connection.close();
        }
    }

    private void connect() {
        if (isClosed) {
            return;
        }
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        PeerConnection.install(channel, PeerLink.this);
                    }
                })
                .connect(address.host(), address.port())
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        loop.schedule(this::connect, RECONNECT_MILLIS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    @Override
    public void onConnected(PeerConnection open) {
        connection = open;
        if (isClosed) {
            open.close();
            return;
        }
        listener.onConnected(open);
    }

    @Override
    public void onMessage(PeerConnection open, PeerEnvelope message) {
        listener.onMessage(open, message);
    }

    @Override
    public void onClosed(PeerConnection open) {
        connection = null;
        listener.onClosed(open);
        loop.schedule(this::connect, RECONNECT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
