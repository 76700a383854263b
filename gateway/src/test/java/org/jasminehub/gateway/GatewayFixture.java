package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Starts a new entry instance with two scripted endpoints for each test. */
abstract class GatewayFixture {
    static final String KEY = "key-1";

    GatewayHarness gateway;
    /** The replies of both endpoints, in the order in which requests arrive at either of them. */
    final Queue<ScriptedEndpoint.Reply> script = new ConcurrentLinkedQueue<>();

    ScriptedEndpoint endpointOne;
    ScriptedEndpoint endpointTwo;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
        endpointOne = newEndpoint();
        endpointTwo = newEndpoint();
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        endpointOne.close();
        endpointTwo.close();
    }

    ScriptedEndpoint newEndpoint() throws IOException {
        return new ScriptedEndpoint(script);
    }

    void serveWithOneEndpoint() {
        gateway.configure(1, KEY);
        gateway.register("e-1", endpointOne.port(), "ready");
    }

    void serveWithBothEndpoints() {
        serveWithOneEndpoint();
        gateway.register("e-2", endpointTwo.port(), "ready");
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

    /** Sends a request and returns the connection, on which the response can be read. */
    Socket open(String request) throws IOException {
        Socket socket = gateway.connect();
        ScriptedEndpoint.write(socket, request.replaceFirst("\r\n", "\r\nConnection: close\r\n"));
        return socket;
    }

    ScriptedEndpoint.Request takeRequest(ScriptedEndpoint endpoint) throws InterruptedException {
        ScriptedEndpoint.Request request =
                endpoint.requests().poll(GatewayHarness.TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        assertNotNull(request, "no request received");
        return request;
    }

    int requests() {
        return endpointOne.requests().size() + endpointTwo.requests().size();
    }
}
