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

/** Tests that requests with one part in their prompts do not crash endpoints one after the other. */
final class CrashingPromptTest {
    private static final String KEY = "key-1";
    private static final String BAD_PART = "bad0";
    private static final int ENDPOINTS = 10;
    private static final int BAD_REQUESTS = 12;

    /** The fifth crash is the last one before calls with the part must be held back. */
    private static final int MAX_CRASHES = 5;

    private final List<CrashingEndpoint> endpoints = new ArrayList<>();

    @BeforeEach
    void startEndpoints() throws IOException {
        for (int index = 0; index < ENDPOINTS; index++) {
            endpoints.add(new CrashingEndpoint(
                    request -> request.header("x-prompt-prefix").contains(BAD_PART)));
        }
    }

    @AfterEach
    void stopEndpoints() throws IOException {
        for (CrashingEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }

    private void register(GatewayHarness gateway) {
        gateway.configure(1, KEY);
        for (int index = 0; index < ENDPOINTS; index++) {
            gateway.register("e-" + index, endpoints.get(index).port(), "ready");
        }
    }

    private long crashed() {
        return endpoints.stream().filter(CrashingEndpoint::isCrashed).count();
    }

    private long badRequests() {
        return endpoints.stream().mapToLong(CrashingEndpoint::badRequests).sum();
    }

    private static String stream(String id, String parts) {
        return GatewayHarness.request("POST", "/stream/x", id, KEY, "{}")
                .replaceFirst("\r\n", "\r\nX-Prompt-Prefix: " + parts + "\r\n");
    }

    private static String bad(int number) {
        return stream("bad-" + number, "5c:40," + BAD_PART + ":300,mid" + number + ":20,own" + number + ":9");
    }

    private static String sound(int number) {
        return stream("sound-" + number, "5c:40,mid" + number + ":20,s" + number + ":9");
    }

    /** One instance that receives all requests. */
    @Nested
    final class AtOneInstance {
        private final GatewayHarness gateway = new GatewayHarness();

        @AfterEach
        void stop() {
            gateway.close();
        }

        @Test
        void testRequestsWithOnePartDoNotCrashEndpointsOneAfterTheOther() throws Exception {
            register(gateway);
            assertTrue(gateway.exchange(sound(100)).startsWith("HTTP/1.1 200"));

            for (int number = 0; number < BAD_REQUESTS; number++) {
                gateway.exchange(bad(number));
            }

            assertTrue(crashed() <= MAX_CRASHES, crashed() + " endpoints crashed");
            long sentBefore = badRequests();
            String answer = gateway.exchange(bad(BAD_REQUESTS));
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.contains("prompt-quarantined"), answer);
            assertTrue(answer.toLowerCase(Locale.ROOT).contains("retry-after: "), answer);
            assertEquals(sentBefore, badRequests());
        }

        @Test
        void testRequestsThatShareTheOtherPartsAndTheCallerAreServed() throws Exception {
            register(gateway);
            for (int number = 0; number < BAD_REQUESTS; number++) {
                gateway.exchange(bad(number));
            }

            for (int number = 0; number < BAD_REQUESTS; number++) {
                String answer = gateway.exchange(sound(number));
                assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            }
        }
    }

    /** Several instances, each of which sees only some of the requests. */
    @Nested
    final class AtSeveralInstances {
        private final List<GatewayHarness> gateways = new ArrayList<>();

        @AfterEach
        void stop() {
            // The first one owns the store.
            for (int index = gateways.size() - 1; index >= 0; index--) {
                gateways.get(index).close();
            }
        }

        private void start() throws IOException {
            GatewayHarness first = GatewayHarness.withPeers("entry-1");
            gateways.add(first);
            gateways.add(first.startPeer("entry-2"));
            gateways.add(first.startPeer("entry-3"));
            gateways.forEach(CrashingPromptTest.this::register);
            for (GatewayHarness gateway : gateways) {
                GatewayHarness.await(() -> gateway.entry().acceptingNames().size() == gateways.size());
            }
        }

        @Test
        void testCrashesSeenByDifferentInstancesAreCountedTogether() throws Exception {
            start();
            for (GatewayHarness gateway : gateways) {
                assertTrue(gateway.exchange(sound(100)).startsWith("HTTP/1.1 200"));
            }

            for (int number = 0; number < BAD_REQUESTS; number++) {
                gateways.get(number % gateways.size()).exchange(bad(number));
            }

            assertTrue(crashed() <= MAX_CRASHES, crashed() + " endpoints crashed");
            for (GatewayHarness gateway : gateways) {
                gateway.awaitQuarantine(BAD_PART);
                assertTrue(gateway.exchange(bad(BAD_REQUESTS)).startsWith("HTTP/1.1 503"));
                assertTrue(gateway.exchange(sound(BAD_REQUESTS)).startsWith("HTTP/1.1 200"));
            }
        }

        @Test
        void testAQuarantineOutlivesTheProcessesThatDecidedOnIt() throws Exception {
            start();
            GatewayHarness first = gateways.get(0);
            assertTrue(first.exchange(sound(100)).startsWith("HTTP/1.1 200"));
            for (int number = 0; number < BAD_REQUESTS; number++) {
                first.exchange(bad(number));
            }
            GatewayHarness.await(() -> first.store().count("keyed.jasminehub-instances", "quarantine/" + BAD_PART) > 0);
            gateways.forEach(gateway -> gateway.entry().stop());
            long sentBefore = badRequests();

            GatewayHarness restarted = first.startPeer("entry-1");
            gateways.add(restarted);
            restarted.configure(1, KEY);
            restarted.awaitQuarantine(BAD_PART);

            assertTrue(restarted.exchange(bad(BAD_REQUESTS)).startsWith("HTTP/1.1 503"));
            assertEquals(sentBefore, badRequests());
        }
    }
}
