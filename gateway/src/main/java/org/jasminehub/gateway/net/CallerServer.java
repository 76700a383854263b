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
import org.jasminehub.core.serving.CallerLimits;
import org.jasminehub.platform.PlatformException;

/**
 * Listens for callers and reads their requests strictly.
 *
 * <pre>{@code
 * CallerServer server = CallerServer.start(loop, address, () -> limits, handler, onMalformed);
 * }</pre>
 *
 * <p>Its connections work on the event loop that it was started with.
 */
public final class CallerServer {
    /** Connections that may wait to be accepted; callers return all at once when a process has restarted. */
    private static final int BACKLOG = 1024;

    private final CallerHandler handler;
    private final BiConsumer<Integer, String> onMalformed;
    private final Set<Channel> open = new HashSet<>();
    private final Channel listening;
    private boolean isStopping;

    private CallerServer(
            EventLoop loop,
            EndpointAddress address,
            Supplier<CallerLimits> limits,
            CallerHandler handler,
            BiConsumer<Integer, String> onMalformed) {
        this.handler = handler;
        this.onMalformed = onMalformed;
        ChannelFuture binding = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        CallerLimits inForce = limits.get();
                        channel.pipeline()
                                .addLast(
                                        new StrictRequestDecoder(inForce.headerBytes()),
                                        new HttpResponseEncoder(),
                                        new CallerConnection(CallerServer.this, inForce));
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
     * Starts to listen; port 0 takes a free one.
     *
     * @param limits what callers may send, asked for each new connection
     * @param onMalformed told the status and the reason of each request that could not be read
     */
    public static CallerServer start(
            EventLoop loop,
            EndpointAddress address,
            Supplier<CallerLimits> limits,
            CallerHandler handler,
            BiConsumer<Integer, String> onMalformed) {
        return new CallerServer(loop, address, limits, handler, onMalformed);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /** Returns how many callers are connected. */
    public int connections() {
        return open.size();
    }

    /** From now on each answer is the last one of its connection; idle connections stay for requests on their way. */
    public void stopKeeping() {
        isStopping = true;
    }

    /** Closes the connections that no request is open on. */
    public void closeIdle() {
        for (Channel channel : List.copyOf(open)) {
            channel.pipeline().get(CallerConnection.class).closeIfIdle(channel);
        }
    }

    /** Closes the listener and every connection. */
    public void close() {
        listening.close();
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

    void onOpened(Channel channel) {
        open.add(channel);
    }

    void onClosed(Channel channel) {
        open.remove(channel);
    }
}
