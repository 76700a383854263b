package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Rejects request heads that two HTTP implementations could interpret differently. */
final class RequestValidator {
    private RequestValidator() {}

    /** Returns the reason why {@code request} is rejected, null if it is valid. */
    static @Nullable String findViolation(HttpRequest request) {
        HttpHeaders headers = request.headers();
        List<String> hosts = headers.getAll(HttpHeaderNames.HOST);
        if (hosts.size() != 1 || hosts.get(0).isBlank()) {
            return "the request must have exactly one Host header";
        }
        if (!HttpVersion.HTTP_1_1.equals(request.protocolVersion())) {
            return "the only supported protocol version is HTTP/1.1";
        }
        if (!request.uri().startsWith("/")) {
            return "the request target must be a path";
        }
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (!encodings.isEmpty() && !lengths.isEmpty()) {
            return "the request must not have both Content-Length and Transfer-Encoding";
        }
        if (lengths.size() > 1) {
            return "the request has more than one Content-Length";
        }
        boolean isChunked = encodings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                        encodings.get(0).trim());
        if (!encodings.isEmpty() && !isChunked) {
            return "the only supported transfer encoding is chunked";
        }
        return null;
    }
}
