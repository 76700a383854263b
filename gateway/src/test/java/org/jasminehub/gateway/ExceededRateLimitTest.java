package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jasminehub.gateway.control.ControlEventKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that the instances together do not send an endpoint more requests than the limit that it states. */
final class ExceededRateLimitTest {
    private static final String KEY = "key-1";
    private static final int INSTANCES = 3;
    private static final int CALLS = 48;

    /** The bound of the platform: in any 4 s, one and a half times the limit and 5 requests. */
    private static final long WINDOW_MILLIS = 4_000;

    private static final double LIMIT_FACTOR = 1.5;
    private static final int SLACK_REQUESTS = 5;

    private final List<GatewayHarness> gateways = new ArrayList<>();
    private LimitedEndpoint limited;
    private LimitedEndpoint unlimited;

    @BeforeEach
    void start() throws IOException {
        limited = new LimitedEndpoint("1");
        unlimited = new LimitedEndpoint("");
        GatewayHarness first = GatewayHarness.withPeers("entry-1");
        gateways.add(first);
        while (gateways.size() < INSTANCES) {
            gateways.add(first.startPeer("entry-" + (gateways.size() + 1)));
        }
        for (GatewayHarness gateway : gateways) {
            gateway.configure(1, KEY);
            gateway.register("e-1", limited.port(), "ready");
        }
        for (GatewayHarness gateway : gateways) {
            GatewayHarness.await(() -> gateway.entry().acceptingNames().size() == INSTANCES);
        }
    }

    @AfterEach
    void stop() throws IOException {
        // The first one owns the store.
        for (int index = gateways.size() - 1; index >= 0; index--) {
            gateways.get(index).close();
        }
        limited.close();
        unlimited.close();
    }

    private String call(int number, String path) throws IOException {
        return gateways.get(number % INSTANCES).exchange(GatewayHarness.request("GET", path, "r-" + number, KEY, ""));
    }

    /** Returns the most that an endpoint with a limit of one request a second may get during {@code elapsedMillis}. */
    private static double allowed(long elapsedMillis) {
        long windows = 1 + elapsedMillis / WINDOW_MILLIS;
        return windows * (LIMIT_FACTOR * WINDOW_MILLIS / 1_000 + SLACK_REQUESTS);
    }

    private void assertWithinLimit(long startedMillis) {
        long elapsedMillis = gateways.get(0).clock().monotonicMillis() - startedMillis;
        assertTrue(
                limited.requests() <= allowed(elapsedMillis),
                limited.requests() + " requests in " + elapsedMillis + " ms");
    }

    @Test
    void testTheLimitIsNotExceededWhileTheStoreIsAway() throws Exception {
        gateways.get(0).store().setDown(true);
        long startedMillis = gateways.get(0).clock().monotonicMillis();
        for (int number = 0; number < CALLS; number++) {
            call(number, "/hasty/x");
        }

        assertWithinLimit(startedMillis);
    }

    @Test
    void testAnInstanceRespectsALimitThatOnlyItsPeerHasSeen() throws Exception {
        call(0, "/hasty/x");

        gateways.forEach(gateway -> gateway.awaitEvent(ControlEventKind.ENDPOINT_LIMITED, "e-1"));

        gateways.forEach(gateway -> assertEquals(1, gateway.gauge("endpoints.limited")));
    }

    @Test
    void testAllCallsAreServedAfterTheLimitHasEnded() throws Exception {
        call(0, "/hasty/x");
        gateways.forEach(gateway -> gateway.awaitEvent(ControlEventKind.ENDPOINT_LIMITED, "e-1"));
        limited.setLimit("");
        GatewayHarness.await(() -> {
            try {
                call(1, "/hasty/x");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return gateways.stream().allMatch(gateway -> gateway.gauge("endpoints.limited") == 0);
        });

        for (int number = 0; number < CALLS; number++) {
            assertTrue(call(number, "/hasty/x").startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    void testAPeerThatConnectsLaterLearnsThatALimitHasEnded() throws Exception {
        call(0, "/hasty/x");
        gateways.forEach(gateway -> gateway.awaitEvent(ControlEventKind.ENDPOINT_LIMITED, "e-1"));
        limited.setLimit("");
        while (gateways.get(1).gauge("endpoints.limited") > 0) {
            call(1, "/hasty/x");
        }

        try (FakePeer peer = new FakePeer(gateways.get(1).peerAddress())) {
            GatewayHarness.await(() -> peer.received().stream()
                    .anyMatch(message -> message.hasEndpointRateLimit()
                            && !message.getEndpointRateLimit().getIsLimited()));
        }
    }

    @Test
    void testAMalformedLimitIsIgnoredAndLogged() throws Exception {
        limited.setLimit("many");

        for (int number = 0; number < CALLS; number++) {
            assertTrue(call(number, "/hasty/x").startsWith("HTTP/1.1 200"));
        }
        gateways.get(0).awaitEvent(ControlEventKind.RECORD_REJECTED, "e-1");
    }

    @Test
    void testInstancesTogetherDoNotExceedTheLimitOfTheOnlyEndpoint() throws Exception {
        long startedMillis = gateways.get(0).clock().monotonicMillis();
        List<String> answers = new ArrayList<>();
        for (int number = 0; number < CALLS; number++) {
            answers.add(call(number, "/hasty/x"));
        }

        assertWithinLimit(startedMillis);
        long served = answers.stream()
                .filter(answer -> answer.startsWith("HTTP/1.1 200"))
                .count();
        assertEquals(limited.requests(), served);
        for (String answer : answers) {
            boolean isRetryable = answer.startsWith("HTTP/1.1 503")
                    && answer.toLowerCase(Locale.ROOT).contains("retry-after: ");
            assertTrue(answer.startsWith("HTTP/1.1 200") || isRetryable, answer);
        }
    }

    @Test
    void testCallsGoToEndpointsWithoutALimitInstead() throws Exception {
        for (GatewayHarness gateway : gateways) {
            gateway.register("e-2", unlimited.port(), "ready");
        }
        long startedMillis = gateways.get(0).clock().monotonicMillis();
        for (int number = 0; number < CALLS; number++) {
            assertTrue(call(number, "/safe/x").startsWith("HTTP/1.1 200"));
        }

        assertWithinLimit(startedMillis);
        assertEquals(CALLS, limited.requests() + unlimited.requests());
    }
}
