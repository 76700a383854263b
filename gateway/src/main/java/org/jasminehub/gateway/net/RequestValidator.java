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
            return "a request needs exactly one host";
        }
        if (!HttpVersion.HTTP_1_1.equals(request.protocolVersion())) {
            return "only HTTP/1.1 is spoken here";
        }
        if (!request.uri().startsWith("/")) {
            return "the target must be a path";
        }
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (!encodings.isEmpty() && !lengths.isEmpty()) {
            return "a body has either a length or chunks";
        }
        if (lengths.size() > 1) {
            return "the length of the body is stated twice";
        }
        boolean isChunked = encodings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                        encodings.get(0).trim());
        if (!encodings.isEmpty() && !isChunked) {
            return "the only transfer encoding known here is chunked";
        }
        return null;
    }
}
