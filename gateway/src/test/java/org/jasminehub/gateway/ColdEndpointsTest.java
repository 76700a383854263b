package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import org.jasminehub.gateway.cold.ColdEventKind;
import org.junit.jupiter.api.Test;

/** Tests that an entry instance respects the cold times that configuration, registrations and responses state. */
final class ColdEndpointsTest extends GatewayFixture {
    /** A window of 100 s at the start of a process, in which it may send nothing to cold endpoints. */
    private static final String RARELY = ",\"cold_start_s\":600,\"cold_per_s\":0.02";

    /** Ten requests in any second, and none in the first second of a process. */
    private static final String OFTEN = ",\"cold_start_s\":600,\"cold_per_s\":20";

    private static final int CALLS = 8;

    private void configure(String coldFields) {
        gateway.store().put("keyed.op", "config", """
                {"version":1,"routes":[{"name":"safe","host":"h.example","path_prefix":"/safe/","kind":"safe",
                "timeout_ms":15000,"target_latency_ms":10000,"priority":1,"service":"plain","attempts":2,"public":false}],
                "services":[{"name":"plain","health_path":"/health","connection_limit":100%s}],
                "tenants":[{"name":"team-a","api_keys":["%s"],"priority":1}]}
                """.formatted(coldFields, KEY));
        GatewayHarness.await(() -> gateway.entry().inForce().isPresent());
    }

    private void register(String id, int port, String fields, long sequence) {
        gateway.store()
                .put(
                        "keyed.servers",
                        id,
                        "{\"service\":\"plain\",\"address\":\"127.0.0.1:" + port
                                + "\",\"zone\":\"a\",\"slots\":4,\"state\":\"ready\",\"born\":1,\"sequence\":"
                                + sequence
                                + fields + "}");
        GatewayHarness.await(() -> gateway.entry().knowsEndpoint(id, false));
    }

    private static ScriptedEndpoint.Reply coldFor(String millis) {
        return (request, socket) -> {
            ScriptedEndpoint.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                            + "\r\nX-Response-Signature: s\r\nX-Cold-Milliseconds: " + millis
                            + "\r\nContent-Length: 6\r\n\r\nserved");
            return true;
        };
    }

    private void assertServed(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
    }

    private void assertCold(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.contains("endpoints-cold: "), answer);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("retry-after: "), answer);
    }

    /** Fails if a call without an allowance waits or reaches a cold endpoint. */
    @Test
    void testACallIsRefusedAtOnceIfOnlyColdEndpointsWithoutAllowanceAreLeft() throws IOException {
        configure(RARELY);
        register("e-1", endpointOne.port(), ",\"cold_remaining_ms\":500000", 1);

        assertCold(gateway.exchange(safe("r-1")));
        assertEquals(0, requests());
        assertEquals(1, gateway.gauge("endpoints.cold"));
        assertEquals(1, gateway.gauge("endpoints.cold.withheld"));
        assertEquals(1, gateway.countEvents(ColdEventKind.ENDPOINT_COLD));
    }

    /** Fails if an endpoint of which nothing is stated is taken for warm. */
    @Test
    void testAnEndpointThatStatesNothingIsTreatedAsCold() throws IOException {
        configure(RARELY);
        register("e-1", endpointOne.port(), "", 1);

        assertCold(gateway.exchange(safe("r-1")));
        assertEquals(0, requests());
    }

    @Test
    void testAColdEndpointIsServedUpToItsAllowance() {
        configure(OFTEN);
        register("e-1", endpointOne.port(), ",\"cold_remaining_ms\":500000", 1);
        script.add(ScriptedEndpoint.ok("served"));

        GatewayHarness.await(() -> exchange("r-1").startsWith("HTTP/1.1 200"));
        assertEquals(1, requests());
    }

    /** Fails if calls go to a cold endpoint although a warm one has capacity. */
    @Test
    void testCallsGoToAWarmEndpointInstead() throws IOException {
        configure(OFTEN);
        register("e-1", endpointOne.port(), ",\"cold_remaining_ms\":500000", 1);
        register("e-2", endpointTwo.port(), ",\"cold_remaining_ms\":0", 1);
        for (int call = 0; call < CALLS; call++) {
            script.add(ScriptedEndpoint.ok("served"));
            assertServed(gateway.exchange(safe("r-" + call)));
        }

        assertEquals(0, endpointOne.requests().size());
        assertEquals(CALLS, endpointTwo.requests().size());
    }

    /** Fails if an endpoint that turns cold during traffic is known as cold only from its registration. */
    @Test
    void testAResponseStatesThatItsEndpointHasTurnedCold() throws IOException {
        configure(RARELY);
        register("e-1", endpointOne.port(), ",\"cold_remaining_ms\":0", 1);
        script.add(coldFor("500000"));

        assertServed(gateway.exchange(safe("r-1")));
        assertCold(gateway.exchange(safe("r-2")));
        assertEquals(1, requests());
    }

    /** Fails if an endpoint stays limited after its cold time. */
    @Test
    void testCallsReturnAfterTheColdTime() {
        configure(RARELY);
        register("e-1", endpointOne.port(), ",\"cold_remaining_ms\":200", 1);
        script.add(ScriptedEndpoint.ok("served"));

        GatewayHarness.await(() -> exchange("r-1").startsWith("HTTP/1.1 200"));
        GatewayHarness.await(() -> gateway.countEvents(ColdEventKind.ENDPOINT_WARM) == 1);
        assertEquals(0, gateway.gauge("endpoints.cold"));
    }

    /** Fails if statements about a cold time have an effect on a service without a cold start. */
    @Test
    void testServicesWithoutAColdStartAreServedAsBefore() throws IOException {
        configure("");
        register("e-1", endpointOne.port(), ",\"cold_remaining_ms\":500000", 1);
        for (int call = 0; call < CALLS; call++) {
            script.add(coldFor("500000"));
            assertServed(gateway.exchange(safe("r-" + call)));
        }

        assertEquals(CALLS, requests());
        assertEquals(0, gateway.countEvents(ColdEventKind.ENDPOINT_COLD));
    }

    /** Fails if a malformed time makes an endpoint unknown, counts as warm, or is logged with each statement. */
    @Test
    void testAMalformedTimeCountsAsColdAndIsLoggedOnce() throws IOException {
        configure(RARELY);
        register("e-1", endpointOne.port(), ",\"cold_remaining_ms\":\"soon\"", 1);
        register("e-1", endpointOne.port(), ",\"cold_remaining_ms\":-5", 2);

        assertCold(gateway.exchange(safe("r-1")));
        assertEquals(1, gateway.countEvents(ColdEventKind.COLD_VALUE_ADJUSTED));
    }

    /** Fails if a malformed configuration of the cold start makes the rest of the configuration unusable. */
    @Test
    void testAMalformedColdStartIsReplacedByASafeOne() throws IOException {
        configure(",\"cold_start_s\":\"three\"");
        register("e-1", endpointOne.port(), "", 1);

        assertCold(gateway.exchange(safe("r-1")));
        GatewayHarness.await(() -> gateway.countEvents(ColdEventKind.COLD_VALUE_ADJUSTED) == 1);
    }

    private String exchange(String id) {
        try {
            return gateway.exchange(safe(id));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
