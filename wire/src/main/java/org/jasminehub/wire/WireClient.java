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
 * A client of one peer that connects on first use and reconnects on the next use after the connection was lost.
 *
 * <pre>{@code
 * WireClient client = new WireClient(group, "127.0.0.1", port, hello, peerListener);
 * OutgoingCall call = client.call(CallStart.newBuilder()..., answerListener);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class WireClient implements AutoCloseable {
    /** How long a peer may send nothing before its connection is closed. */
    public static final int READ_TIMEOUT_MILLIS = 5_000;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final WireGroup group;
    private final String host;
    private final int port;
    private final Supplier<Hello> hello;
    private final PeerListener peerListener;

    private @Nullable ClientConnection current;
    private boolean closed;

    /** Creates a client of the peer at {@code host} and {@code port}; it connects on first use. */
    public WireClient(WireGroup group, String host, int port, Supplier<Hello> hello, PeerListener peerListener) {
        this.group = group;
        this.host = host;
        this.port = port;
        this.hello = hello;
        this.peerListener = peerListener;
    }

    /** Opens the connection unless it is open or being opened. */
    public void connect() {
        connection();
    }

    /** Starts a call and sets its id in {@code start}; {@code listener} is also called if the connection fails. */
    public OutgoingCall call(CallStart.Builder start, ResponseListener listener) {
        return connection().call(start, listener);
    }

    /**
     * Sends a control request.
     *
     * @return the reply; fails with {@link WireException} if the connection is closed or lost, and with {@link
     *     java.util.concurrent.TimeoutException} if no reply arrives within {@code timeoutMillis}
     */
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
            current = closed ? ClientConnection.closedConnection(peerListener) : openConnection();
        }
        return current;
    }

    private ClientConnection openConnection() {
        ClientConnection connection = new ClientConnection(hello, peerListener);
        ChannelFuture connectFuture = new Bootstrap()
                .group(group.eventLoops())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new IdleStateHandler(READ_TIMEOUT_MILLIS, 0, 0, TimeUnit.MILLISECONDS));
                        WireProtocol.addCodec(channel.pipeline());
                        channel.pipeline().addLast(connection);
                    }
                })
                .connect(host, port);
        connectFuture.addListener(future -> {
            if (!future.isSuccess()) {
                connection.fail();
            }
        });
        return connection;
    }
}
