package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request of a caller.
 *
 * @param method the HTTP method
 * @param uri path and query as sent
 * @param host the host header without a port
 * @param headers all headers
 * @param body the body, empty where there is none
 */
public record CallerRequest(HttpMethod method, String uri, String host, HttpHeaders headers, byte[] body) {
    /** Returns the path, without the query. */
    public String path() {
        int end = uri.indexOf('?');
        return end < 0 ? uri : uri.substring(0, end);
    }
}
