package org.jasminehub.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.Hello;
import org.jspecify.annotations.Nullable;

/**
 * A connection to one peer, opened on first use and opened again after it was lost.
 *
 * <pre>{@code
 * WireClient client = new WireClient(group, "127.0.0.1", port, hello, peerListener);
 * OutgoingCall call = client.call(CallStart.newBuilder()..., answerListener);
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class WireClient implements AutoCloseable {
    /** How long a peer may send nothing before its connection counts as lost. */
    public static final int SILENCE_MILLIS = 5_000;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final WireGroup group;
    private final String host;
    private final int port;
    private final Supplier<Hello> hello;
    private final PeerListener peerListener;

    private @Nullable ClientConnection current;
    private boolean closed;

    /** Creates a client of the peer at {@code host} and {@code port}; connects when first used. */
    public WireClient(WireGroup group, String host, int port, Supplier<Hello> hello, PeerListener peerListener) {
        this.group = group;
        this.host = host;
        this.port = port;
        this.hello = hello;
        this.peerListener = peerListener;
    }

    /** Opens the connection if it is not open or opening. */
    public void connect() {
        connection();
    }

    /** Starts a call; the call's id is filled in. {@code listener} also hears when the connection fails. */
    public OutgoingCall call(CallStart.Builder start, AnswerListener listener) {
        return connection().call(start, listener);
    }

    /** Sends a control request; the future fails with {@link WireException} where no reply came in time. */
    public CompletableFuture<ControlReply> request(ControlRequest.Builder request, int timeoutMillis) {
        return connection().request(request).orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public synchronized void close() {
        closed = true;
        if (current != null) {
            current.close();
        }
    }

    private synchronized ClientConnection connection() {
        if (current == null || current.isClosed()) {
            current = closed ? ClientConnection.closedConnection(peerListener) : open();
        }
        return current;
    }

    private ClientConnection open() {
        ClientConnection connection = new ClientConnection(hello, peerListener);
        ChannelFuture connecting = new Bootstrap()
                .group(group.loops())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new IdleStateHandler(SILENCE_MILLIS, 0, 0, TimeUnit.MILLISECONDS));
                        WireProtocol.addCodec(channel.pipeline());
                        channel.pipeline().addLast(connection);
                    }
                })
                .connect(host, port);
        connecting.addListener(future -> {
            if (!future.isSuccess()) {
                connection.fail();
            }
        });
        return connection;
    }
}
