package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.gateway.control.ControlEventKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests an entry instance whose store is restored from a copy that lacks the latest records. */
final class StoreRestoreTest extends GatewayFixture {
    private static final String OTHER_KEY = "key-2";
    private static final String ENDPOINTS = "ENDPOINTS";
    private static final String CONFIGURATION = "CONFIGURATION";

    private String safeWith(String id, String key) {
        return GatewayHarness.request("GET", "/safe/x", id, key, "");
    }

    /** Waits until the follower of {@code topic} has begun to read the restored store. */
    private void awaitRestore(String topic) {
        gateway.awaitEvent(ControlEventKind.STORE_RESTORED, topic);
    }

    /** The configuration and its keys. */
    @Nested
    final class Configuration {
        @Test
        void testRevokedKeyStaysRevokedWhenTheRestoredStoreShowsIt() throws IOException {
            serveWithOneEndpoint();
            InMemoryStore.Copy copy = gateway.store().copy();
            gateway.configure(7, OTHER_KEY);

            gateway.store().restore(copy);
            awaitRestore(CONFIGURATION);

            assertEquals(7, gateway.entry().inForce().orElseThrow().version());
            assertTrue(gateway.exchange(safe("r-1")).startsWith("HTTP/1.1 401"));
        }

        @Test
        void testVersionWrittenAtAnOffsetThatWasAssignedBeforeIsApplied() {
            serveWithOneEndpoint();
            InMemoryStore.Copy copy = gateway.store().copy();
            gateway.configure(7, KEY);

            // The log is as long as before the restore when it is read next, so its offsets show no difference.
            gateway.store().restore(copy);
            gateway.putConfiguration(9, OTHER_KEY);

            GatewayHarness.await(() -> gateway.entry().inForce().orElseThrow().version() == 9);
        }

        @Test
        void testReadOfAnOlderVersionDoesNotConfirmTheAge() throws InterruptedException {
            serveWithOneEndpoint();
            InMemoryStore.Copy copy = gateway.store().copy();
            gateway.configure(7, KEY);

            gateway.store().restore(copy);
            awaitRestore(CONFIGURATION);
            long ageMillis = gateway.entry().ageMillis();
            GatewayHarness.await(() -> gateway.entry().ageMillis() > ageMillis + EraTracker.REWRITE_MILLIS + 1_700);
            gateway.putConfiguration(7, KEY);

            GatewayHarness.await(() -> gateway.entry().ageMillis() < EraTracker.REWRITE_MILLIS);
        }
    }

    /** The registrations of endpoints. */
    @Nested
    final class Endpoints {
        @Test
        void testEndpointThatLeftIsNotUsedAgain() throws IOException {
            serveWithBothEndpoints();
            InMemoryStore.Copy copy = gateway.store().copy();
            gateway.store().put("keyed.servers", "e-2", "");
            GatewayHarness.await(() -> !gateway.entry().knowsEndpoint("e-2", false));

            gateway.store().restore(copy);
            gateway.awaitEvent(ControlEventKind.RECORD_OUTDATED, "e-2");

            assertFalse(gateway.entry().knowsEndpoint("e-2", false));
        }

        @Test
        void testDrainingEndpointKeepsDraining() throws IOException {
            serveWithBothEndpoints();
            InMemoryStore.Copy copy = gateway.store().copy();
            gateway.putRegistration("e-2", endpointTwo.port(), "draining", 2);
            GatewayHarness.await(() -> gateway.entry().knowsEndpoint("e-2", true));

            gateway.store().restore(copy);
            gateway.awaitEvent(ControlEventKind.RECORD_OUTDATED, "e-2");

            assertTrue(gateway.entry().knowsEndpoint("e-2", true));
        }

        @Test
        void testEndpointMissingFromTheCopyIsKeptUntilItHadTimeToRegister() throws IOException {
            serveWithOneEndpoint();
            InMemoryStore.Copy copy = gateway.store().copy();
            gateway.register("e-2", endpointTwo.port(), "ready");
            gateway.register("e-3", endpointTwo.port(), "ready");

            gateway.store().restore(copy);
            awaitRestore(ENDPOINTS);
            assertTrue(gateway.entry().knowsEndpoint("e-2", false));
            gateway.putRegistration("e-2", endpointTwo.port(), "ready", 2);

            GatewayHarness.await(() -> !gateway.entry().knowsEndpoint("e-3", false));
            assertTrue(gateway.entry().knowsEndpoint("e-2", false));
        }

        @Test
        void testEndpointThatRegistersAgainAfterTheRestoreIsUsed() throws IOException {
            serveWithBothEndpoints();
            InMemoryStore.Copy copy = gateway.store().copy();
            gateway.store().put("keyed.servers", "e-2", "");
            GatewayHarness.await(() -> !gateway.entry().knowsEndpoint("e-2", false));

            gateway.store().restore(copy);
            gateway.awaitEvent(ControlEventKind.RECORD_OUTDATED, "e-2");
            gateway.putRegistration("e-2", endpointTwo.port(), "ready", 5);

            GatewayHarness.await(() -> gateway.entry().knowsEndpoint("e-2", false));
        }
    }

    /** The operator's request to evacuate a failure domain, which the copy lacks. */
    @Nested
    final class Evacuations {
        private InMemoryStore.Copy copy;

        private void evacuateAfterCopy() {
            gateway.configure(1, KEY);
            gateway.registerIn("a", "e-1", endpointOne.port());
            gateway.registerIn("b", "e-2", endpointTwo.port());
            copy = gateway.store().copy();
            gateway.putEvacuation("a");
            gateway.configure(2, KEY);
        }

        private void awaitEvacuated(int domains) {
            GatewayHarness.await(() -> gateway.gauge("domains.evacuated") == domains);
        }

        /** Guards against calls to an evacuated domain while the restored store does not show the request. */
        @Test
        void testRequestHoldsUntilItIsWrittenAgain() throws IOException {
            evacuateAfterCopy();

            // The request for another domain shows that the restored store was read. No further read is made until the
            // lost request has been written again, however long the calls take.
            gateway.store().restore(copy);
            gateway.putEvacuation("c");
            awaitEvacuated(2);
            gateway.store().setDown(true);
            for (int call = 1; call <= 6; call++) {
                script.add(ScriptedEndpoint.ok("x"));
                assertTrue(gateway.exchange(safe("r-" + call)).startsWith("HTTP/1.1 200"));
            }
            assertEquals(0, endpointOne.requests().size());

            gateway.putEvacuation("a");
            gateway.store().setDown(false);
            gateway.configure(3, KEY);
            assertEquals(0, gateway.countEvents(ControlEventKind.EVACUATION_ENDED));
        }

        @Test
        void testRequestThatIsNotWrittenAgainEndsOnceTheStoreIsComplete() {
            evacuateAfterCopy();

            gateway.store().restore(copy);
            gateway.putConfiguration(2, KEY);

            awaitEvacuated(0);
            assertTrue(gateway.hasEvent(ControlEventKind.EVACUATION_ENDED, "a"));
        }
    }

    /** The instance's own registration. */
    @Nested
    final class OwnRegistration {
        @Test
        void testRegistrationThatTheStoreLostIsWrittenAgain() {
            InMemoryStore.Copy empty = gateway.store().copy();
            serveWithOneEndpoint();
            GatewayHarness.await(() -> gateway.store().count("keyed.jasminehub-instances", "entry-1") == 1);

            gateway.store().restore(empty);
            gateway.putConfiguration(1, KEY);

            GatewayHarness.await(() -> gateway.store().count("keyed.jasminehub-instances", "entry-1") == 1);
        }
    }
}
