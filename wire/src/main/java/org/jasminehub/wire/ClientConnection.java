package org.jasminehub.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jasminehub.wire.generated.AnswerChunk;
import org.jasminehub.wire.generated.CallCancel;
import org.jasminehub.wire.generated.CallCredit;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.Envelope;
import org.jasminehub.wire.generated.Hello;
import org.jspecify.annotations.Nullable;

/** One connection of a {@link WireClient} with its pending calls and control requests. */
final class ClientConnection extends SimpleChannelInboundHandler<Envelope> {
    private final Supplier<Hello> hello;
    private final PeerListener peerListener;

    private final Object lock = new Object();
    private final Queue<Envelope> queuedUntilHello = new ArrayDeque<>();
    private final Map<Long, ResponseListener> calls = new HashMap<>();
    private final Map<Long, CompletableFuture<ControlReply>> requests = new HashMap<>();
    private long nextId = 1;
    private boolean helloReceived;
    private boolean closed;
    private @Nullable ChannelHandlerContext context;

    ClientConnection(Supplier<Hello> hello, PeerListener peerListener) {
        this.hello = hello;
        this.peerListener = peerListener;
    }

    static ClientConnection closedConnection(PeerListener peerListener) {
        ClientConnection connection = new ClientConnection(Hello::getDefaultInstance, peerListener);
        connection.closed = true;
        return connection;
    }

    boolean isClosed() {
        synchronized (lock) {
            return closed;
        }
    }

    OutgoingCall call(CallStart.Builder start, ResponseListener listener) {
        long id;
        synchronized (lock) {
            id = nextId++;
            if (!closed) {
                calls.put(id, listener);
                sendLocked(Envelope.newBuilder()
                        .setCallStart(start.setCallId(id).build())
                        .build());
                return new Call(id);
            }
        }
        listener.onConnectionLost(false);
        return new Call(id);
    }

    CompletableFuture<ControlReply> request(ControlRequest.Builder request) {
        CompletableFuture<ControlReply> reply = new CompletableFuture<>();
        synchronized (lock) {
            if (!closed) {
                long id = nextId++;
                requests.put(id, reply);
                reply.whenComplete((value, failure) -> removeRequest(id));
                sendLocked(Envelope.newBuilder()
                        .setControlRequest(request.setCorrelationId(id).build())
                        .build());
                return reply;
            }
        }
        reply.completeExceptionally(new WireException("the connection is closed", null));
        return reply;
    }

    void close() {
        ChannelHandlerContext currentContext;
        synchronized (lock) {
            currentContext = context;
        }
        if (currentContext == null) {
            fail();
        } else {
            currentContext.close();
        }
    }

    /** Marks the connection as closed and notifies every pending call and request. */
    void fail() {
        List<PendingCall> pendingCalls = new ArrayList<>();
        List<CompletableFuture<ControlReply>> pendingReplies;
        synchronized (lock) {
            if (closed) {
                return;
            }
            closed = true;
            calls.forEach((id, listener) -> pendingCalls.add(new PendingCall(listener, !isUnsent(id))));
            calls.clear();
            pendingReplies = List.copyOf(requests.values());
            requests.clear();
            queuedUntilHello.clear();
        }
        pendingCalls.forEach(call -> call.listener().onConnectionLost(call.sent()));
        pendingReplies.forEach(
                reply -> reply.completeExceptionally(new WireException("the connection was lost", null)));
        peerListener.onDisconnected();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        synchronized (lock) {
            context = ctx;
        }
        ctx.writeAndFlush(Envelope.newBuilder().setHello(hello.get()).build());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        // The idle handler reports that the peer sent nothing for READ_TIMEOUT_MILLIS.
        ctx.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Envelope message) {
        switch (message.getBodyCase()) {
            case HELLO -> onHello(ctx, message.getHello());
            case ENDPOINT_LOAD -> peerListener.onLoad(message.getEndpointLoad());
            case ANSWER_HEAD ->
                withCall(message.getAnswerHead().getCallId(), call -> call.onHead(message.getAnswerHead()));
            case ANSWER_CHUNK -> onChunk(message.getAnswerChunk());
            case ANSWER_END -> endCall(message.getAnswerEnd().getCallId(), call -> call.onEnd(message.getAnswerEnd()));
            case ANSWER_REFUSED ->
                endCall(message.getAnswerRefused().getCallId(), call -> call.onRefused(message.getAnswerRefused()));
            case CONTROL_REPLY -> onReply(message.getControlReply());
            default -> ctx.close();
        }
    }

    private void onHello(ChannelHandlerContext ctx, Hello peer) {
        if (peer.getProtocolVersion() != WireProtocol.VERSION) {
            ctx.close();
            return;
        }
        synchronized (lock) {
            helloReceived = true;
            queuedUntilHello.forEach(ctx::write);
            queuedUntilHello.clear();
            ctx.flush();
        }
        peerListener.onHello(peer);
    }

    private void onChunk(AnswerChunk chunk) {
        withCall(chunk.getCallId(), call -> call.onChunk(chunk));
    }

    private void onReply(ControlReply reply) {
        CompletableFuture<ControlReply> pending;
        synchronized (lock) {
            pending = requests.remove(reply.getCorrelationId());
        }
        if (pending != null) {
            pending.complete(reply);
        }
    }

    private void withCall(long id, java.util.function.Consumer<ResponseListener> action) {
        ResponseListener listener;
        synchronized (lock) {
            listener = calls.get(id);
        }
        if (listener != null) {
            action.accept(listener);
        }
    }

    private void endCall(long id, java.util.function.Consumer<ResponseListener> action) {
        ResponseListener listener;
        synchronized (lock) {
            listener = calls.remove(id);
        }
        if (listener != null) {
            action.accept(listener);
        }
    }

    private void removeRequest(long id) {
        synchronized (lock) {
            requests.remove(id);
        }
    }

    private boolean isUnsent(long callId) {
        return queuedUntilHello.stream()
                .anyMatch(message ->
                        message.hasCallStart() && message.getCallStart().getCallId() == callId);
    }

    private void sendLocked(Envelope message) {
        if (helloReceived && context != null) {
            context.writeAndFlush(message);
        } else {
            queuedUntilHello.add(message);
        }
    }

    private void send(Envelope message) {
        synchronized (lock) {
            if (!closed) {
                sendLocked(message);
            }
        }
    }

    private record PendingCall(ResponseListener listener, boolean sent) {}

    private final class Call implements OutgoingCall {
        private final long id;

        Call(long id) {
            this.id = id;
        }

        @Override
        public void credit(int chunks) {
            send(Envelope.newBuilder()
                    .setCallCredit(CallCredit.newBuilder().setCallId(id).setChunks(chunks))
                    .build());
        }

        @Override
        public void cancel() {
            boolean isPending;
            synchronized (lock) {
                isPending = calls.remove(id) != null;
            }
            if (isPending) {
                send(Envelope.newBuilder()
                        .setCallCancel(CallCancel.newBuilder().setCallId(id))
                        .build());
            }
        }
    }
}
