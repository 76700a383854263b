package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that the instances together send a cold endpoint no more than it tolerates. */
final class ColdEndpointsPeersTest {
    private static final String KEY = "key-1";
    private static final int INSTANCES = 3;
    private static final int CALLS = 240;
    private static final int PER_SECOND = 8;

    /** One view of all instances sends half of the rate. */
    private static final int OF_ONE_VIEW = 4;

    private final List<GatewayHarness> gateways = new ArrayList<>();
    private LimitedEndpoint endpoint;

    @BeforeEach
    void start() throws IOException {
        endpoint = new LimitedEndpoint("");
        GatewayHarness first = GatewayHarness.withPeers("entry-1");
        gateways.add(first);
        while (gateways.size() < INSTANCES) {
            gateways.add(first.startPeer("entry-" + (gateways.size() + 1)));
        }
        first.store().put("keyed.op", "config", """
                {"version":1,"routes":[{"name":"safe","host":"h.example","path_prefix":"/safe/","kind":"safe",
                "timeout_ms":15000,"target_latency_ms":10000,"priority":1,"service":"plain","attempts":2,"public":false}],
                "services":[{"name":"plain","health_path":"/health","connection_limit":100,"cold_start_s":600,
                "cold_per_s":%d}],"tenants":[{"name":"team-a","api_keys":["%s"],"priority":1}]}
                """.formatted(PER_SECOND, KEY));
        first.store()
                .put(
                        "keyed.servers",
                        "e-1",
                        "{\"service\":\"plain\",\"address\":\"127.0.0.1:" + endpoint.port()
                                + "\",\"zone\":\"a\",\"slots\":4,\"state\":\"ready\",\"born\":1,\"sequence\":1,"
                                + "\"cold_remaining_ms\":500000}");
        for (GatewayHarness gateway : gateways) {
            GatewayHarness.await(() -> gateway.entry().inForce().isPresent()
                    && gateway.entry().knowsEndpoint("e-1", false)
                    && gateway.entry().acceptingNames().size() == INSTANCES);
        }
    }

    @AfterEach
    void stop() throws IOException {
        // The first one owns the store.
        for (int index = gateways.size() - 1; index >= 0; index--) {
            gateways.get(index).close();
        }
        endpoint.close();
    }

    /** Fails if the allowances of the instances add up to more than the endpoint tolerates, or none of them is used. */
    @Test
    void testInstancesTogetherStayWithinTheAllowanceOfOneView() throws IOException {
        long startedMillis = gateways.get(0).clock().monotonicMillis();
        int served = 0;
        for (int number = 0; number < CALLS || served == 0; number++) {
            String answer = gateways.get(number % INSTANCES)
                    .exchange(GatewayHarness.request("GET", "/safe/x", "r-" + number, KEY, ""));
            boolean isServed = answer.startsWith("HTTP/1.1 200");
            assertTrue(isServed || answer.contains("endpoints-cold: "), answer);
            served += isServed ? 1 : 0;
        }
        long elapsedMillis = gateways.get(0).clock().monotonicMillis() - startedMillis;

        assertEquals(endpoint.requests(), served);
        assertTrue(served <= OF_ONE_VIEW * (1 + elapsedMillis / 1_000), served + " in " + elapsedMillis + " ms");
    }
}
