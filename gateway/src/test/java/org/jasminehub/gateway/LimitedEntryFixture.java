package org.jasminehub.gateway;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Starts an entry instance on a small machine, with an endpoint that answers and one that does not. */
abstract class LimitedEntryFixture extends LimitedProcessFixture {
    /** The limit on bodies that the configuration states, also the default. */
    static final int BODY_BYTES = 4 << 20;

    /** The limit on heads that the configuration states, also the default. */
    private static final int HEAD_BYTES = 16 << 10;

    /** The heap and the memory of the deployed entry instance are 160 and 430 MB; here both are 0.6 of that. */
    private static final int HEAP_MEGABYTES = 96;

    private static final int MEMORY_MEGABYTES = 258;
    private static final int ORDINARY_BODY_BYTES = 3;
    private static final double GRACE_SECONDS = 3;
    private static final int SLOTS = 400;
    private static final String CONFIGURATION = """
            {"version":1,"routes":[
            {"name":"ordinary","host":"h.example","path_prefix":"/ordinary/","kind":"unsafe","timeout_ms":15000,
             "target_latency_ms":10000,"priority":1,"service":"answering","attempts":2,"public":false},
            {"name":"held","host":"h.example","path_prefix":"/held/","kind":"unsafe","timeout_ms":15000,
             "target_latency_ms":10000,"priority":1,"service":"silent","attempts":2,"public":false}],
            "services":[{"name":"answering","health_path":"/health","connection_limit":1000},
             {"name":"silent","health_path":"/health","connection_limit":1000}],
            "tenants":[{"name":"team-a","api_keys":["%s"],"priority":1}],
            "limits":{"header_bytes":%d,"body_bytes":%d,"header_timeout_ms":5000,"idle_timeout_ms":30000}}
            """;

    private CrowdEndpoint answering;
    private CrowdEndpoint silent;

    LimitedEntryFixture() {
        super(MEMORY_MEGABYTES);
    }

    @BeforeEach
    void startEntry() throws IOException {
        answering = new CrowdEndpoint(true);
        silent = new CrowdEndpoint(false);
        store.put("keyed.op", "config", CONFIGURATION.formatted(GatewayFixture.KEY, HEAD_BYTES, BODY_BYTES));
        register("e-1", "answering", answering.port());
        register("e-2", "silent", silent.port());
        startProcess(
                Main.ENTRY, HEAP_MEGABYTES, GatewayProcess.settings("entry-1", host, GRACE_SECONDS, store.address()));
    }

    private void register(String id, String service, int port) {
        store.put(
                "keyed.servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"a\",\"slots\":"
                        + SLOTS + ",\"state\":\"ready\",\"born\":1,\"sequence\":1}");
    }

    @AfterEach
    void stopEndpoints() throws IOException {
        answering.close();
        silent.close();
    }

    /** Returns the head of a request with a body, up to the header that tells the length of the body. */
    static String head(String path, String key) {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd\r\nAuthorization: Bearer " + key
                + "\r\n";
    }

    @Override
    boolean isServing() {
        return isOk(GatewayProcess.READINESS_PORT, get("/readiness"))
                && isOk(GatewayProcess.DIRECTORY_PORT, get("/resolution?name=h.example&region=r&zone=a"))
                && isOk(GatewayProcess.METRICS_PORT, get("/metrics"))
                && isOk(GatewayProcess.CALLER_PORT, ordinary(ORDINARY_BODY_BYTES));
    }

    @Override
    boolean isServingLargeRequest() {
        return isOk(GatewayProcess.CALLER_PORT, ordinary(BODY_BYTES));
    }

    private static String get(String uri) {
        return "GET " + uri + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n";
    }

    private static String ordinary(int bodyBytes) {
        return head("/ordinary/x", GatewayFixture.KEY) + "Connection: close\r\nContent-Length: " + bodyBytes
                + "\r\n\r\n" + "x".repeat(bodyBytes);
    }

    /** Sends {@code request} on a new connection and returns whether it is served. */
    private boolean isOk(int port, String request) {
        try (Socket socket = connect(port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return GatewayHarness.readAll(socket.getInputStream()).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }
}
