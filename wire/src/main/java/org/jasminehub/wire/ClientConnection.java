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

/** One connection of a {@link WireClient}: the calls and control requests that wait for an answer on it. */
final class ClientConnection extends SimpleChannelInboundHandler<Envelope> {
    private final Supplier<Hello> hello;
    private final PeerListener peerListener;

    private final Object lock = new Object();
    private final Queue<Envelope> waitingForHello = new ArrayDeque<>();
    private final Map<Long, AnswerListener> calls = new HashMap<>();
    private final Map<Long, CompletableFuture<ControlReply>> requests = new HashMap<>();
    private long nextId = 1;
    private boolean ready;
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

    OutgoingCall call(CallStart.Builder start, AnswerListener listener) {
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
        listener.onLost(false);
        return new Call(id);
    }

    CompletableFuture<ControlReply> request(ControlRequest.Builder request) {
        CompletableFuture<ControlReply> reply = new CompletableFuture<>();
        synchronized (lock) {
            if (!closed) {
                long id = nextId++;
                requests.put(id, reply);
                reply.whenComplete((value, failure) -> forgetRequest(id));
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
        ChannelHandlerContext present;
        synchronized (lock) {
            present = context;
        }
        if (present == null) {
            fail();
        } else {
            present.close();
        }
    }

    /** Ends the connection: every call and request that waits on it is told so. */
    void fail() {
        List<LostCall> lost = new ArrayList<>();
        List<CompletableFuture<ControlReply>> unanswered;
        synchronized (lock) {
            if (closed) {
                return;
            }
            closed = true;
            calls.forEach((id, listener) -> lost.add(new LostCall(listener, !isUnsent(id))));
            calls.clear();
            unanswered = List.copyOf(requests.values());
            requests.clear();
            waitingForHello.clear();
        }
        lost.forEach(call -> call.listener().onLost(call.sent()));
        unanswered.forEach(reply -> reply.completeExceptionally(new WireException("the connection was lost", null)));
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
            case ANSWER_END ->
                withEndedCall(message.getAnswerEnd().getCallId(), call -> call.onEnd(message.getAnswerEnd()));
            case ANSWER_REFUSED ->
                withEndedCall(
                        message.getAnswerRefused().getCallId(), call -> call.onRefused(message.getAnswerRefused()));
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
            ready = true;
            waitingForHello.forEach(ctx::write);
            waitingForHello.clear();
            ctx.flush();
        }
        peerListener.onHello(peer);
    }

    private void onChunk(AnswerChunk chunk) {
        withCall(chunk.getCallId(), call -> call.onChunk(chunk));
    }

    private void onReply(ControlReply reply) {
        CompletableFuture<ControlReply> waiting;
        synchronized (lock) {
            waiting = requests.remove(reply.getCorrelationId());
        }
        if (waiting != null) {
            waiting.complete(reply);
        }
    }

    private void withCall(long id, java.util.function.Consumer<AnswerListener> action) {
        AnswerListener listener;
        synchronized (lock) {
            listener = calls.get(id);
        }
        if (listener != null) {
            action.accept(listener);
        }
    }

    private void withEndedCall(long id, java.util.function.Consumer<AnswerListener> action) {
        AnswerListener listener;
        synchronized (lock) {
            listener = calls.remove(id);
        }
        if (listener != null) {
            action.accept(listener);
        }
    }

    private void forgetRequest(long id) {
        synchronized (lock) {
            requests.remove(id);
        }
    }

    private boolean isUnsent(long callId) {
        return waitingForHello.stream()
                .anyMatch(message ->
                        message.hasCallStart() && message.getCallStart().getCallId() == callId);
    }

    private void sendLocked(Envelope message) {
        if (ready && context != null) {
            context.writeAndFlush(message);
        } else {
            waitingForHello.add(message);
        }
    }

    private void send(Envelope message) {
        synchronized (lock) {
            if (!closed) {
                sendLocked(message);
            }
        }
    }

    private record LostCall(AnswerListener listener, boolean sent) {}

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
            boolean waiting;
            synchronized (lock) {
                waiting = calls.remove(id) != null;
            }
            if (waiting) {
                send(Envelope.newBuilder()
                        .setCallCancel(CallCancel.newBuilder().setCallId(id))
                        .build());
            }
        }
    }
}
