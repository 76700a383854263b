package org.jasminehub.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Queue;

/** An endpoint that serves every request and states in each response how many requests a second it takes. */
final class LimitedEndpoint implements AutoCloseable {
    private final ScriptedEndpoint endpoint;
    private volatile String limit;

    /** Starts an endpoint that states {@code limit}, or none if it is empty. */
    LimitedEndpoint(String limit) throws IOException {
        this.limit = limit;
        this.endpoint = new ScriptedEndpoint(always(this::answer));
    }

    private static Queue<ScriptedEndpoint.Reply> always(ScriptedEndpoint.Reply reply) {
        return new ArrayDeque<>() {
            @Override
            public ScriptedEndpoint.Reply poll() {
                return reply;
            }
        };
    }

    private boolean answer(ScriptedEndpoint.Request request, Socket socket) throws IOException {
        String stated = limit;
        ScriptedEndpoint.write(
                socket,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                        + "\r\nX-Response-Signature: s\r\n"
                        + (stated.isEmpty() ? "" : "Server-Limit: " + stated + "\r\n")
                        + "Content-Length: 6\r\n\r\nserved");
        return true;
    }

    /** Sets the limit that later responses state; none if it is empty. */
    void setLimit(String stated) {
        limit = stated;
    }

    int port() {
        return endpoint.port();
    }

    /** Returns how many requests have arrived. */
    int requests() {
        return endpoint.requests().size();
    }

    @Override
    public void close() throws IOException {
        endpoint.close();
    }
}
