package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jasminehub.gateway.control.ControlEventKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against an instance that accepts callers without knowing the others, and then uses the retry budget and the rate
 * limits of all of them.
 */
final class UnreadDirectoryTest extends GatewayFixture {
    private static final String INSTANCES = "keyed.jasminehub-instances";

    @Test
    void testAnInstanceIsReadyOnceItHasReadTheRegistrationsOfTheOthers() throws IOException {
        serveWithOneEndpoint();
        gateway.store().setTopicDown(INSTANCES, true);
        try (GatewayHarness later = gateway.startPeer("entry-2")) {
            later.awaitEvent(ControlEventKind.STORE_LOST, "INSTANCES");
            GatewayHarness.await(() -> later.entry().knowsEndpoint("e-1", false)
                    && later.entry().inForce().isPresent());
            // Several times the interval at which an instance checks whether it is ready.
            LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1));
            assertFalse(later.hasEvent(ControlEventKind.READINESS_CHANGED, "entry-2"));

            gateway.store().setTopicDown(INSTANCES, false);

            later.awaitEvent(ControlEventKind.READINESS_CHANGED, "entry-2");
        }
    }
}
