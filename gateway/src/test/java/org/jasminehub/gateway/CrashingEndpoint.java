package org.jasminehub.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;

/** An endpoint that streams three events, and that crashes when it begins to write on a prompt with a given part. */
final class CrashingEndpoint implements AutoCloseable {
    private static final String EVENT = "id: %d\ndata: x\n\n";

    private final String badPart;
    private final ScriptedEndpoint endpoint;
    private final AtomicBoolean isCrashed = new AtomicBoolean();

    CrashingEndpoint(String badPart) throws IOException {
        this.badPart = badPart;
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
        if (request.header("x-prompt-prefix").contains(badPart) && isCrashed.compareAndSet(false, true)) {
            endpoint.close();
        }
        if (isCrashed.get()) {
            socket.setSoLinger(true, 0);
            return false;
        }
        StringBuilder body = new StringBuilder();
        for (int id = 1; id <= 3; id++) {
            body.append(EVENT.formatted(id));
        }
        return ScriptedEndpoint.ok(body.toString()).answer(request, socket);
    }

    int port() {
        return endpoint.port();
    }

    boolean isCrashed() {
        return isCrashed.get();
    }

    /** Returns how many requests with the bad part have reached the endpoint. */
    long badRequests() {
        return endpoint.requests().stream()
                .filter(request -> request.header("x-prompt-prefix").contains(badPart))
                .count();
    }

    @Override
    public void close() throws IOException {
        endpoint.close();
    }
}
