package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/** An exchange from the search for a connection to its end; nothing reaches the sink once it is cancelled. */
final class PendingExchange implements Exchange, AnswerSink {
    private final AnswerSink sink;
    private @Nullable EndpointConnection connection;
    private Runnable cancelConnecting = () -> {};
    private boolean isOver;

    PendingExchange(AnswerSink sink) {
        this.sink = sink;
    }

    void onCancel(Runnable action) {
        cancelConnecting = action;
    }

    void start(EndpointConnection open, FullHttpRequest request) {
        if (isOver) {
            request.release();
            open.cancel();
            return;
        }
        connection = open;
        open.send(request, this);
    }

    @Override
    public void cancel() {
        if (isOver) {
            return;
        }
        isOver = true;
        if (connection == null) {
            cancelConnecting.run();
        } else {
            connection.cancel();
        }
    }

    @Override
    public void setReading(boolean isReading) {
        if (connection != null && !isOver) {
            connection.setReading(isReading);
        }
    }

    @Override
    public void onHead(HttpResponseStatus status, HttpHeaders headers) {
        if (!isOver) {
            sink.onHead(status, headers);
        }
    }

    @Override
    public void onBody(byte[] part) {
        if (!isOver) {
            sink.onBody(part);
        }
    }

    @Override
    public void onEnd() {
        if (!isOver) {
            isOver = true;
            sink.onEnd();
        }
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
        if (!isOver) {
            isOver = true;
            sink.onFailure(failure);
        }
    }
}
