package org.jasminehub.gateway.net;

import java.util.concurrent.CompletableFuture;
import org.jasminehub.platform.hosted.StoreCall;
import org.jasminehub.platform.hosted.StoreResponse;
import org.jasminehub.platform.hosted.StoreTransport;

/** Sends calls to the store over pooled keep-alive connections. */
public final class StoreConnection implements StoreTransport {
    private final BufferedHttpClient caller;

    /** Creates a transport to the store at {@code address}. */
    public StoreConnection(EndpointClient client, EndpointAddress address) {
        this.caller = new BufferedHttpClient(client, address, "store");
    }

    @Override
    public CompletableFuture<StoreResponse> send(StoreCall call, long timeoutMillis) {
        return caller.call(call.method(), call.uri(), call.contentType(), call.body(), timeoutMillis)
                .thenApply(response -> new StoreResponse(response.status(), response.headers()::get, response.body()));
    }
}
