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

/** Makes small HTTP calls and buffers their complete responses. A call that times out closes its connection. */
public final class BufferedHttpClient {
    /** Several times the largest response of the store or an engine; a faulty peer may send bytes without end. */
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    private final EndpointClient client;
    private final EndpointAddress address;
    private final String serviceName;
    private final ExchangeMonitor monitor;

    /** Creates a client of the service at {@code address}, which failures name {@code serviceName}. */
    public BufferedHttpClient(EndpointClient client, EndpointAddress address, String serviceName) {
        this(client, address, serviceName, ExchangeMonitor.NONE);
    }

    /** Creates a client whose exchanges are followed by {@code monitor}. */
    public BufferedHttpClient(
            EndpointClient client, EndpointAddress address, String serviceName, ExchangeMonitor monitor) {
        this.client = client;
        this.address = address;
        this.serviceName = serviceName;
        this.monitor = monitor;
    }

    /** A complete response. */
    public record Response(int status, HttpHeaders headers, byte[] body) {}

    /**
     * Makes a call over a pooled connection, if there is one. If a faulty peer writes the response to an earlier call once
     * more, it may be taken for the response to this one.
     *
     * @return the response; completes exceptionally with a {@link PlatformException} if none arrives within {@code
     *     timeoutMillis}, in which case the call may still have taken effect
     */
    public CompletableFuture<Response> call(
            String method, String uri, String contentType, byte[] body, long timeoutMillis) {
        return call(method, uri, contentType, body, timeoutMillis, ConnectionUse.KEPT_OR_NEW);
    }

    /**
     * Makes a call over a new connection, so that the response is certainly the one to this call.
     *
     * @return the response; completes exceptionally with a {@link PlatformException} if none arrives within {@code
     *     timeoutMillis}, in which case the call may still have taken effect
     */
    public CompletableFuture<Response> callOnNewConnection(
            String method, String uri, String contentType, byte[] body, long timeoutMillis) {
        return call(method, uri, contentType, body, timeoutMillis, ConnectionUse.NEW);
    }

    private CompletableFuture<Response> call(
            String method,
            String uri,
            String contentType,
            byte[] body,
            long timeoutMillis,
            ConnectionUse connectionUse) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, address.toString());
        if (body.length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            HttpUtil.setContentLength(request, body.length);
        }
        CompletableFuture<Response> result = new CompletableFuture<>();
        Exchange exchange = client.send(address, request, connectionUse, new ResponseCollector(result), monitor);
        result.whenComplete((response, failure) -> {
            if (failure != null) {
                exchange.cancel();
            }
        });
        ScheduledFuture<?> timeout = client.loop()
                .schedule(
                        () -> result.completeExceptionally(new PlatformException(
                                serviceName, "no response within " + timeoutMillis + " ms", null)),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        result.whenComplete((response, failure) -> timeout.cancel(false));
        return result;
    }

    /** Buffers a response until it is complete. */
    private final class ResponseCollector implements ResponseSink {
        private final CompletableFuture<Response> result;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private @Nullable HttpResponseStatus status;
        private @Nullable HttpHeaders headers;

        ResponseCollector(CompletableFuture<Response> result) {
            this.result = result;
        }

        @Override
        public void onHead(HttpResponseStatus responseStatus, HttpHeaders responseHeaders) {
            status = responseStatus;
            headers = responseHeaders;
        }

        @Override
        public void onBody(byte[] part) {
            if (body.size() + part.length > MAX_RESPONSE_BYTES) {
                result.completeExceptionally(new PlatformException(
                        serviceName, "response is larger than " + MAX_RESPONSE_BYTES + " bytes", null));
                return;
            }
            body.writeBytes(part);
        }

        @Override
        public void onEnd() {
            if (status != null && headers != null) {
                result.complete(new Response(status.code(), headers, body.toByteArray()));
            }
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            result.completeExceptionally(new PlatformException(serviceName, failure.name(), null));
        }
    }
}
