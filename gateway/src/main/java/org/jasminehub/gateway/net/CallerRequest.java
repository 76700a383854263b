package org.jasminehub.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete HTTP request of a caller.
 *
 * @param method the HTTP method
 * @param uri the path and the query as sent
 * @param host the value of the Host header without the port
 * @param headers all headers
 * @param body the body, empty if there is none
 */
public record CallerRequest(HttpMethod method, String uri, String host, HttpHeaders headers, RequestBody body) {
    /** Returns the path without the query. */
    public String path() {
        int end = uri.indexOf('?');
        return end < 0 ? uri : uri.substring(0, end);
    }
}
