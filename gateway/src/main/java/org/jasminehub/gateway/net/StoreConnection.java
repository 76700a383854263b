package org.jasminehub.gateway.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.platform.hosted.StoreAnswer;
import org.jasminehub.platform.hosted.StoreCall;
import org.jasminehub.platform.hosted.StoreTransport;
import org.jspecify.annotations.Nullable;

/** Carries calls to the store over kept connections; a call that times out closes its connection. */
public final class StoreConnection implements StoreTransport {
    private static final String SERVICE = "store";

    private final EventLoop loop;
    private final EndpointClient client;
    private final EndpointAddress address;

    /** Creates a transport to the store at {@code address}. */
    public StoreConnection(EventLoop loop, EndpointClient client, EndpointAddress address) {
        this.loop = loop;
        this.client = client;
        this.address = address;
    }

    @Override
    public CompletableFuture<StoreAnswer> send(StoreCall call, long timeoutMillis) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                call.uri(),
                Unpooled.wrappedBuffer(call.body()));
        request.headers().set(HttpHeaderNames.HOST, address.toString());
        if (call.body().length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, call.contentType());
            HttpUtil.setContentLength(request, call.body().length);
        }
        CompletableFuture<StoreAnswer> result = new CompletableFuture<>();
        Exchange exchange = client.send(address, request, ConnectionUse.KEPT_OR_NEW, new Collector(result));
        ScheduledFuture<?> timeout = loop.schedule(
                () -> {
                    exchange.cancel();
                    result.completeExceptionally(
                            new PlatformException(SERVICE, "no answer within " + timeoutMillis + " ms", null));
                },
                timeoutMillis,
                TimeUnit.MILLISECONDS);
        result.whenComplete((answer, failure) -> timeout.cancel(false));
        return result;
    }

    /** Holds an answer until it is whole. */
    private static final class Collector implements AnswerSink {
        private final CompletableFuture<StoreAnswer> result;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private @Nullable HttpResponseStatus status;

        Collector(CompletableFuture<StoreAnswer> result) {
            this.result = result;
        }

        @Override
        public void onHead(HttpResponseStatus answerStatus, HttpHeaders headers) {
            status = answerStatus;
        }

        @Override
        public void onBody(byte[] part) {
            body.writeBytes(part);
        }

        @Override
        public void onEnd() {
            if (status != null) {
                result.complete(new StoreAnswer(status.code(), body.toByteArray()));
            }
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            result.completeExceptionally(new PlatformException(SERVICE, failure.name(), null));
        }
    }
}
