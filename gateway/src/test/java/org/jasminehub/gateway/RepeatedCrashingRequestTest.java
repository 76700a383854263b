package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that a request without a prompt that comes again and again does not crash endpoints one after the other. */
final class RepeatedCrashingRequestTest {
    private static final String KEY = "key-1";
    private static final int ENDPOINTS = 12;
    private static final int REPEATS = 14;

    /** The bound of the platform: three crashes, and three more sends. */
    private static final int MAX_SENDS = 6;

    private final List<CrashingEndpoint> endpoints = new ArrayList<>();
    private final List<GatewayHarness> gateways = new ArrayList<>();

    @BeforeEach
    void startEndpoints() throws IOException {
        for (int index = 0; index < ENDPOINTS; index++) {
            endpoints.add(new CrashingEndpoint(request ->
                    request.head().contains("/poison") || request.body().contains("poison")));
        }
        gateways.add(GatewayHarness.withPeers("entry-1"));
    }

    @AfterEach
    void stop() throws IOException {
        // The first one owns the store.
        for (int index = gateways.size() - 1; index >= 0; index--) {
            gateways.get(index).close();
        }
        for (CrashingEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }

    private void register() {
        for (GatewayHarness gateway : gateways) {
            gateway.configure(1, KEY);
            for (int index = 1; index < ENDPOINTS; index++) {
                gateway.putRegistration("e-" + index, endpoints.get(index).port(), "ready", 1);
            }
            // Registrations are read in order, so all are known when the last one is.
            gateway.register("e-0", endpoints.get(0).port(), "ready");
        }
    }

    private long badRequests() {
        return endpoints.stream().mapToLong(CrashingEndpoint::badRequests).sum();
    }

    private static String get(String path, int number) {
        return GatewayHarness.request("GET", path, "r-" + number, KEY, "");
    }

    private static String post(String path, int number, String body) {
        return GatewayHarness.request("POST", path, "r-" + number, KEY, body);
    }

    private static void assertHeldBack(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.contains("request-quarantined"), answer);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("retry-after: "), answer);
    }

    /** One instance that receives all repeats. */
    @Nested
    final class AtOneInstance {
        @Test
        void testARepeatedSafeRequestDoesNotCrashAllEndpoints() throws Exception {
            register();
            for (int number = 0; number < REPEATS; number++) {
                gateways.get(0).exchange(get("/safe/poison", number));
            }

            assertTrue(badRequests() <= MAX_SENDS, badRequests() + " sent");
            assertHeldBack(gateways.get(0).exchange(get("/safe/poison", REPEATS)));
        }

        @Test
        void testARepeatedRequestWithEffectsDoesNotCrashAllEndpoints() throws Exception {
            register();
            for (int number = 0; number < REPEATS; number++) {
                gateways.get(0).exchange(post("/unsafe/x", number, "poison"));
            }

            assertTrue(badRequests() <= MAX_SENDS, badRequests() + " sent");
            assertHeldBack(gateways.get(0).exchange(post("/unsafe/x", REPEATS, "poison")));
        }

        @Test
        void testRequestsWithAnotherBodyOrPathAreServed() throws Exception {
            register();
            for (int number = 0; number < REPEATS; number++) {
                gateways.get(0).exchange(post("/unsafe/x", number, "poison"));
            }

            for (String request :
                    List.of(post("/unsafe/x", 100, "pay"), post("/unsafe/y", 101, ""), get("/safe/x", 102))) {
                String answer = gateways.get(0).exchange(request);
                assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            }
        }
    }

    /** Several instances, each of which sees only some of the repeats. */
    @Nested
    final class AtSeveralInstances {
        @BeforeEach
        void startPeers() throws IOException {
            gateways.add(gateways.get(0).startPeer("entry-2"));
            gateways.add(gateways.get(0).startPeer("entry-3"));
            register();
            for (GatewayHarness gateway : gateways) {
                GatewayHarness.await(() -> gateway.entry().acceptingNames().size() == gateways.size());
            }
        }

        @Test
        void testRepeatsAtDifferentInstancesAreCountedTogether() throws Exception {
            for (int number = 0; number < REPEATS; number++) {
                gateways.get(number % gateways.size()).exchange(post("/unsafe/x", number, "poison"));
            }

            assertTrue(badRequests() <= MAX_SENDS, badRequests() + " sent");
            long sentBefore = badRequests();
            for (GatewayHarness gateway : gateways) {
                assertHeldBack(gateway.exchange(post("/unsafe/x", REPEATS, "poison")));
            }
            assertEquals(sentBefore, badRequests());
        }

        @Test
        void testAnInstanceThatStartsLaterHoldsTheRequestBack() throws Exception {
            for (int number = 0; number < REPEATS; number++) {
                gateways.get(0).exchange(post("/unsafe/x", number, "poison"));
            }
            GatewayHarness later = gateways.get(0).startPeer("entry-4");
            gateways.add(later);
            register();

            GatewayHarness.await(() -> later.gauge("requests.quarantined") > 0);
            assertHeldBack(later.exchange(post("/unsafe/x", REPEATS, "poison")));
        }
    }
}
