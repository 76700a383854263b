package org.jasminehub.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;

/** An endpoint that serves three events, and that crashes when it begins to work on a request of a given kind. */
final class CrashingEndpoint implements AutoCloseable {
    private static final String EVENT = "id: %d\ndata: x\n\n";

    private final Predicate<ScriptedEndpoint.Request> isBad;
    private final ScriptedEndpoint endpoint;
    private final AtomicBoolean isCrashed = new AtomicBoolean();

    CrashingEndpoint(Predicate<ScriptedEndpoint.Request> isBad) throws IOException {
        this.isBad = isBad;
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
        if (isBad.test(request) && isCrashed.compareAndSet(false, true)) {
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

    /** Returns how many requests that crash endpoints have reached this one. */
    long badRequests() {
        return endpoint.requests().stream().filter(isBad).count();
    }

    @Override
    public void close() throws IOException {
        endpoint.close();
    }
}
