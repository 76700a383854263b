package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/** An exchange that may still be waiting for its connection; the sink is not called after a cancellation. */
final class PendingExchange implements Exchange, ResponseSink {
    private final ResponseSink sink;
    private final ExchangeMonitor monitor;
    private @Nullable EndpointConnection connection;
    private Runnable cancelConnecting = () -> {};
    private boolean isDone;

    PendingExchange(ResponseSink sink, ExchangeMonitor monitor) {
        this.sink = sink;
        this.monitor = monitor;
    }

    void onCancel(Runnable action) {
        cancelConnecting = action;
    }

    void start(EndpointConnection open, FullHttpRequest request) {
        if (isDone) {
            request.release();
            open.cancel();
            return;
        }
        if (!monitor.maySend()) {
            request.release();
            open.cancel();
            onFailure(ExchangeFailure.WITHHELD);
            return;
        }
        connection = open;
        open.send(request, this, monitor);
    }

    @Override
    public void cancel() {
        if (isDone) {
            return;
        }
        isDone = true;
        if (connection == null) {
            cancelConnecting.run();
        } else {
            connection.cancel();
        }
    }

    @Override
    public boolean isFirstOnConnection() {
        return connection != null && connection.isFirstExchange();
    }

    @Override
    public void setReading(boolean isReading) {
        if (connection != null && !isDone) {
            connection.setReading(isReading);
        }
    }

    @Override
    public void onHead(HttpResponseStatus status, HttpHeaders headers) {
        if (!isDone) {
            sink.onHead(status, headers);
        }
    }

    @Override
    public void onBody(byte[] part) {
        if (!isDone) {
            sink.onBody(part);
        }
    }

    @Override
    public void onEnd() {
        if (!isDone) {
            isDone = true;
            sink.onEnd();
        }
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
        if (!isDone) {
            isDone = true;
            sink.onFailure(failure);
        }
    }
}
