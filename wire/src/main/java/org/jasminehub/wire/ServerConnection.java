package org.jasminehub.wire;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.ControlFailure;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.Envelope;
import org.jasminehub.wire.generated.Hello;
import org.jspecify.annotations.Nullable;

/** One accepted connection and its running calls. All inbound methods run on the connection's event loop. */
final class ServerConnection extends SimpleChannelInboundHandler<Envelope> {
    private final Supplier<Hello> hello;
    private final CallHandler callHandler;
    private final ControlHandler controlHandler;
    private final EventSink events;
    private final Set<ServerConnection> openConnections;
    private final Map<Long, ServerCall> calls = new ConcurrentHashMap<>();

    private volatile @Nullable ChannelHandlerContext context;
    private volatile @Nullable ChannelHandlerContext firstContext;
    private boolean helloReceived;

    ServerConnection(
            Supplier<Hello> hello,
            CallHandler callHandler,
            ControlHandler controlHandler,
            EventSink events,
            Set<ServerConnection> openConnections) {
        this.hello = hello;
        this.callHandler = callHandler;
        this.controlHandler = controlHandler;
        this.events = events;
        this.openConnections = openConnections;
    }

    void send(Envelope message) {
        ChannelHandlerContext currentContext = context;
        if (currentContext != null) {
            currentContext.writeAndFlush(message);
        }
    }

    void close() {
        ChannelHandlerContext currentContext = context;
        if (currentContext != null) {
            currentContext.close();
        }
    }

    /**
     * Closes the connection, which must have sent its hello, once the messages already sent are written. The returned
     * future completes with the close.
     */
    ChannelFuture closeWhenWritten() {
        ChannelHandlerContext first = Objects.requireNonNull(firstContext, "no hello was sent");
        // Written behind the codec, because it is not a message.
        first.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        return first.channel().closeFuture();
    }

    void removeCall(long callId) {
        calls.remove(callId);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        openConnections.remove(this);
        List.copyOf(calls.values()).forEach(ServerCall::cancel);
        calls.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        events.emit(new PeerRejected(addressOf(ctx), cause.getClass().getSimpleName()));
        ctx.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Envelope message) {
        if (!helloReceived) {
            onFirstMessage(ctx, message);
            return;
        }
        switch (message.getBodyCase()) {
            case CALL_START -> onCallStart(ctx, message.getCallStart());
            case CALL_CREDIT -> onCredit(message);
            case CALL_CANCEL -> onCancel(message.getCallCancel().getCallId());
            case CONTROL_REQUEST -> onControlRequest(message.getControlRequest());
            default -> reject(ctx, "unexpected message " + message.getBodyCase());
        }
    }

    private void onFirstMessage(ChannelHandlerContext ctx, Envelope message) {
        if (!message.hasHello()) {
            reject(ctx, "the first message is not a hello");
            return;
        }
        int version = message.getHello().getProtocolVersion();
        ctx.writeAndFlush(Envelope.newBuilder().setHello(hello.get()).build());
        if (version != WireProtocol.VERSION) {
            reject(ctx, "unsupported protocol version " + version);
            return;
        }
        helloReceived = true;
        context = ctx;
        firstContext = ctx.pipeline().firstContext();
        openConnections.add(this);
    }

    private void onCallStart(ChannelHandlerContext ctx, CallStart start) {
        ServerCall call = new ServerCall(this, start);
        if (calls.putIfAbsent(start.getCallId(), call) != null) {
            reject(ctx, "duplicate call id " + start.getCallId());
            return;
        }
        callHandler.onCall(call);
    }

    private void onCredit(Envelope message) {
        ServerCall call = calls.get(message.getCallCredit().getCallId());
        if (call != null) {
            call.credit(message.getCallCredit().getChunks());
        }
    }

    private void onCancel(long callId) {
        ServerCall call = calls.remove(callId);
        if (call != null) {
            call.cancel();
        }
    }

    private void onControlRequest(ControlRequest request) {
        controlHandler.onRequest(request).whenComplete((reply, failure) -> {
            ControlReply.Builder result = failure == null ? reply : failureOf(failure);
            send(Envelope.newBuilder()
                    .setControlReply(result.setCorrelationId(request.getCorrelationId()))
                    .build());
        });
    }

    private static ControlReply.Builder failureOf(Throwable failure) {
        return ControlReply.newBuilder()
                .setFailure(ControlFailure.newBuilder()
                        .setCode(ErrorCode.INTERNAL.code())
                        .setMessage(String.valueOf(failure.getMessage())));
    }

    private void reject(ChannelHandlerContext ctx, String reason) {
        events.emit(new PeerRejected(addressOf(ctx), reason));
        ctx.close();
    }

    private static String addressOf(ChannelHandlerContext ctx) {
        return String.valueOf(ctx.channel().remoteAddress());
    }
}
