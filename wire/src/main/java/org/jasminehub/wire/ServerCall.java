package org.jasminehub.wire;

import com.google.protobuf.ByteString;
import java.util.List;
import org.jasminehub.wire.generated.AnswerChunk;
import org.jasminehub.wire.generated.AnswerEnd;
import org.jasminehub.wire.generated.AnswerHead;
import org.jasminehub.wire.generated.AnswerRefused;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.Envelope;
import org.jasminehub.wire.generated.Header;
import org.jspecify.annotations.Nullable;

/** One incoming call of a peer's connection. */
final class ServerCall implements IncomingCall {
    private final ServerConnection connection;
    private final CallStart start;

    private @Nullable CallListener listener;
    private int sentChunks;
    private boolean ended;

    ServerCall(ServerConnection connection, CallStart start) {
        this.connection = connection;
        this.start = start;
    }

    @Override
    public CallStart start() {
        return start;
    }

    @Override
    public void setListener(CallListener newListener) {
        boolean hasEnded;
        synchronized (this) {
            listener = newListener;
            hasEnded = ended;
        }
        if (hasEnded) {
            newListener.onCancel();
        }
    }

    @Override
    public synchronized void head(int status, List<Header> headers) {
        if (ended) {
            return;
        }
        AnswerHead head = AnswerHead.newBuilder()
                .setCallId(start.getCallId())
                .setStatus(status)
                .addAllHeaders(headers)
                .build();
        connection.send(Envelope.newBuilder().setAnswerHead(head).build());
    }

    @Override
    public synchronized void chunk(ByteString data) {
        if (ended) {
            return;
        }
        AnswerChunk chunk = AnswerChunk.newBuilder()
                .setCallId(start.getCallId())
                .setAttempt(start.getAttempt())
                .setSequence(sentChunks)
                .setData(data)
                .build();
        sentChunks++;
        connection.send(Envelope.newBuilder().setAnswerChunk(chunk).build());
    }

    @Override
    public synchronized void end() {
        if (ended) {
            return;
        }
        ended = true;
        AnswerEnd end = AnswerEnd.newBuilder()
                .setCallId(start.getCallId())
                .setAttempt(start.getAttempt())
                .setChunks(sentChunks)
                .build();
        connection.send(Envelope.newBuilder().setAnswerEnd(end).build());
        connection.removeCall(start.getCallId());
    }

    @Override
    public synchronized void refuse(AnswerRefused.Builder refusal) {
        if (ended) {
            return;
        }
        ended = true;
        connection.send(Envelope.newBuilder()
                .setAnswerRefused(refusal.setCallId(start.getCallId()))
                .build());
        connection.removeCall(start.getCallId());
    }

    void credit(int chunks) {
        CallListener currentListener;
        synchronized (this) {
            currentListener = listener;
        }
        if (currentListener != null) {
            currentListener.onCredit(chunks);
        }
    }

    void cancel() {
        CallListener currentListener;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            currentListener = listener;
        }
        if (currentListener != null) {
            currentListener.onCancel();
        }
    }
}
