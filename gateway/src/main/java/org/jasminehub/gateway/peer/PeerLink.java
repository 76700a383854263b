package org.jasminehub.gateway.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.TimeUnit;
import org.jasminehub.gateway.net.BoundedReads;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/** Maintains a connection to another process and reconnects until it is closed. Used on its event loop only. */
public final class PeerLink implements PeerListener {
    /** Several round trips inside a region. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /** Pause between two connection attempts; a restarted process accepts connections after about one second. */
    private static final long RECONNECT_MILLIS = 300;

    private final EventLoop loop;
    private final EndpointAddress address;
    private final PeerListener listener;
    private @Nullable PeerConnection connection;
    private boolean isClosed;

    /** Creates a link to {@code address} and starts connecting. */
    public PeerLink(EventLoop loop, EndpointAddress address, PeerListener listener) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        connect();
    }

    /** Returns the address that the link connects to. */
    public EndpointAddress address() {
        return address;
    }

    /** Returns whether the link is connected. */
    public boolean isConnected() {
        return connection != null;
    }

    /** Sends {@code message} if the link is connected, and returns whether it is. */
    public boolean send(PeerEnvelope message) {
        PeerConnection open = connection;
        if (open == null) {
            return false;
        }
        open.send(message);
        return true;
    }

    /** Closes the link; it does not reconnect. */
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
        BoundedReads.applyTo(new Bootstrap())
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
