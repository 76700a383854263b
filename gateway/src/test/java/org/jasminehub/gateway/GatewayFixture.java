package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A gateway before two endpoints, started anew for each test. */
abstract class GatewayFixture {
    static final String KEY = "key-1";

    GatewayHarness gateway;
    /** The replies of both endpoints, in the order in which requests reach either. */
    final Queue<ScriptedEndpoint.Reply> script = new ConcurrentLinkedQueue<>();

    ScriptedEndpoint one;
    ScriptedEndpoint two;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
        one = new ScriptedEndpoint(script);
        two = new ScriptedEndpoint(script);
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        one.close();
        two.close();
    }

    void serveOne() {
        gateway.configure(1, KEY);
        gateway.register("e-1", one.port(), "ready");
    }

    void serveBoth() {
        serveOne();
        gateway.register("e-2", two.port(), "ready");
    }

    static String safe(String id) {
        return GatewayHarness.request("GET", "/safe/x", id, KEY, "");
    }

    static String hasty(String id) {
        return GatewayHarness.request("GET", "/hasty/x", id, KEY, "");
    }

    static String unsafe(String id) {
        return GatewayHarness.request("POST", "/unsafe/x", id, KEY, "pay");
    }

    static String stream(String id) {
        return GatewayHarness.request("POST", "/stream/x", id, KEY, "{}");
    }

    ScriptedEndpoint.Request take(ScriptedEndpoint endpoint) throws InterruptedException {
        ScriptedEndpoint.Request request =
                endpoint.requests().poll(GatewayHarness.PATIENCE.toSeconds(), TimeUnit.SECONDS);
        assertNotNull(request, "no request came");
        return request;
    }

    int requests() {
        return one.requests().size() + two.requests().size();
    }
}
