package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.jasminehub.gateway.control.ControlEventKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a withdrawn key that is in use again after an outage of the store, because the versions published
 * meanwhile take several reads.
 */
final class StoreBacklogTest {
    private static final String KEY = "key-1";
    private static final String NEXT_KEY = "key-2";

    /** More than the revocation time of the instances. */
    private static final long OUTAGE_MILLIS = 6_000;

    private static final int VERSIONS = 24;
    private static final int VERSION_BYTES = 130_000;
    private static final int MAX_CALLS = 20_000;

    private final Queue<ScriptedEndpoint.Reply> script = new ConcurrentLinkedQueue<>();
    private GatewayHarness first;
    private GatewayHarness second;
    private ScriptedEndpoint endpoint;

    @BeforeEach
    void start() throws IOException {
        first = GatewayHarness.withPeers("entry-1");
        second = first.startPeer("entry-2");
        endpoint = new ScriptedEndpoint(script);
        for (int call = 0; call < MAX_CALLS; call++) {
            script.add(ScriptedEndpoint.ok("done"));
        }
        first.configure(1, KEY);
        first.register("e-1", endpoint.port(), "ready");
        instances().forEach(instance -> GatewayHarness.await(() -> isServed(instance, KEY)));
    }

    @AfterEach
    void stop() throws IOException {
        second.close();
        first.close();
        endpoint.close();
    }

    private List<GatewayHarness> instances() {
        return List.of(first, second);
    }

    private static String status(GatewayHarness instance, String key) {
        try {
            String answer = instance.exchange(GatewayHarness.request("GET", "/safe/x", "r-1", key, ""));
            return answer.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean isServed(GatewayHarness instance, String key) {
        return status(instance, key).equals("200");
    }

    private void loseStore() {
        first.store().setDown(true);
        for (GatewayHarness instance : instances()) {
            instance.awaitEvent(ControlEventKind.STORE_LOST, "CONFIGURATION");
            instance.clock().shiftWallMillis(OUTAGE_MILLIS);
        }
        instances()
                .forEach(instance ->
                        GatewayHarness.await(() -> status(instance, KEY).equals("503")));
    }

    /** Publishes versions with the key that is used, and a last one without it. */
    private void publishBacklog() {
        for (int version = 2; version <= VERSIONS; version++) {
            GatewayHarness.putLargeConfiguration(first.store(), version, KEY, VERSION_BYTES);
        }
        GatewayHarness.putLargeConfiguration(first.store(), VERSIONS + 1, NEXT_KEY, VERSION_BYTES);
    }

    @Test
    void testAWithdrawnKeyIsNotServedWhileTheBacklogIsRead() {
        loseStore();
        publishBacklog();
        first.store().setDown(false);

        instances()
                .forEach(instance -> GatewayHarness.await(() -> {
                    String status = status(instance, KEY);
                    assertNotEquals("200", status, "served with a withdrawn key");
                    return status.equals("401");
                }));

        for (GatewayHarness instance : instances()) {
            assertEquals("200", status(instance, NEXT_KEY));
        }
        assertTrue(first.hasEvent(ControlEventKind.STORE_READ_BEHIND, "CONFIGURATION")
                || second.hasEvent(ControlEventKind.STORE_READ_BEHIND, "CONFIGURATION"));
    }
}
