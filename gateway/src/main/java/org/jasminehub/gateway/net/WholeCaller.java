package org.jasminehub.gateway.net;

import io.netty.buffer.Unpooled;
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
import org.jspecify.annotations.Nullable;

/** Makes small calls whose answers are taken whole; a call that times out closes its connection. */
public final class WholeCaller {
    private final EndpointClient client;
    private final EndpointAddress address;
    private final String serviceName;

    /** Creates a caller of {@code address}, named {@code serviceName} in failures. */
    public WholeCaller(EndpointClient client, EndpointAddress address, String serviceName) {
        this.client = client;
        this.address = address;
        this.serviceName = serviceName;
    }

    /** A whole answer. */
    public record Answer(int status, byte[] body) {}

    /**
     * Makes a call.
     *
     * @return the answer; fails with a {@link PlatformException} where none arrives within {@code timeoutMillis}, in
     *     which case the call may have taken effect
     */
    public CompletableFuture<Answer> call(
            String method, String uri, String contentType, byte[] body, long timeoutMillis) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, address.toString());
        if (body.length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            HttpUtil.setContentLength(request, body.length);
        }
        CompletableFuture<Answer> result = new CompletableFuture<>();
        Exchange exchange = client.send(address, request, ConnectionUse.KEPT_OR_NEW, new Collector(result));
        ScheduledFuture<?> timeout = client.loop()
                .schedule(
                        () -> {
                            exchange.cancel();
                            result.completeExceptionally(new PlatformException(
                                    serviceName, "no answer within " + timeoutMillis + " ms", null));
                        },
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        result.whenComplete((answer, failure) -> timeout.cancel(false));
        return result;
    }

    /** Holds an answer until it is whole. */
    private final class Collector implements AnswerSink {
        private final CompletableFuture<Answer> result;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private @Nullable HttpResponseStatus status;

        Collector(CompletableFuture<Answer> result) {
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
                result.complete(new Answer(status.code(), body.toByteArray()));
            }
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            result.completeExceptionally(new PlatformException(serviceName, failure.name(), null));
        }
    }
}
