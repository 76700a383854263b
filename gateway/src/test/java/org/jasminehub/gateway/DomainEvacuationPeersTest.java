package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jasminehub.gateway.control.ControlEventKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests instances that learn of an evacuation from a peer instead of the store. */
final class DomainEvacuationPeersTest extends GatewayFixture {
    /** An offset that this instance has not read. */
    private static final long LATER_OFFSET = 1_000;

    private FakePeer peer;

    @BeforeEach
    @Override
    void start() throws IOException {
        gateway = GatewayHarness.withPeers("entry-1");
        endpointOne = new ScriptedEndpoint(script);
        endpointTwo = new ScriptedEndpoint(script);
        peer = new FakePeer(gateway.peerAddress());
    }

    @AfterEach
    @Override
    void stop() throws IOException {
        peer.close();
        super.stop();
    }

    private static void awaitEvacuated(GatewayHarness instance, int domains) {
        GatewayHarness.await(() -> instance.gauge("domains.evacuated") == domains);
    }

    private void assertRefused() throws IOException {
        String answer = gateway.exchange(safe("r-1"));
        assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("domain-evacuated"), answer);
        assertEquals(0, requests());
    }

    /** Guards against an instance without access to the store that goes on sending to the domain. */
    @Test
    void testAnInstanceThatIsCutOffFromTheStoreLearnsBeginAndEndFromAPeer() throws IOException {
        serveWithOneEndpoint();
        gateway.store().setDown(true);

        peer.state(FakePeer.evacuation("a", true, LATER_OFFSET));
        awaitEvacuated(gateway, 1);
        assertRefused();

        peer.state(FakePeer.evacuation("a", false, LATER_OFFSET + 1));
        awaitEvacuated(gateway, 0);
        script.add(ScriptedEndpoint.ok("served"));
        assertTrue(gateway.exchange(safe("r-2")).endsWith("served"));
    }

    @Test
    void testAnInstanceThatStartsWhileTheStoreIsAwayLearnsFromAPeer() throws IOException {
        serveWithOneEndpoint();
        gateway.putEvacuation("a");
        awaitEvacuated(gateway, 1);
        gateway.store().setDown(true);
        try (GatewayHarness later = gateway.startPeer("entry-2");
                FakePeer informed = new FakePeer(later.peerAddress())) {
            informed.state(FakePeer.evacuation("a", true, 1));
            awaitEvacuated(later, 1);

            gateway.store().setDown(false);
            GatewayHarness.await(
                    () -> later.entry().inForce().isPresent() && later.entry().knowsEndpoint("e-1", false));
            assertTrue(later.exchange(safe("r-1")).contains("domain-evacuated"));
            assertEquals(0, later.countEvents(ControlEventKind.EVACUATION_ENDED));
        }
        assertEquals(0, requests());
    }

    /** Guards against evacuations that instances read but do not pass on. */
    @Test
    void testAnInstanceThatReachesTheStoreInformsOneThatDoesNot() throws IOException {
        serveWithOneEndpoint();
        AtomicBoolean isCutOff = new AtomicBoolean();
        try (GatewayHarness other = gateway.startPeer("entry-2", gateway.store().openAddress(isCutOff::get))) {
            List<String> both = List.of("entry-1", "entry-2");
            GatewayHarness.await(() -> other.entry().knowsEndpoint("e-1", false)
                    && other.entry().acceptingNames().equals(both)
                    && gateway.entry().acceptingNames().equals(both));
            isCutOff.set(true);
            other.awaitEvent(ControlEventKind.STORE_LOST, "CONFIGURATION");

            gateway.putEvacuation("a");
            awaitEvacuated(other, 1);
            assertTrue(other.exchange(safe("r-1")).contains("domain-evacuated"));

            gateway.removeEvacuation("a");
            awaitEvacuated(other, 0);
        }
        assertEquals(0, requests());
    }

    /** Guards against a late status from before a removal that evacuates the domain again. */
    @Test
    void testAnOlderStatementHasNoEffectAfterTheRemovalWasRead() {
        serveWithOneEndpoint();
        gateway.putEvacuation("a");
        gateway.removeEvacuation("a");
        gateway.configure(2, KEY);

        peer.state(FakePeer.evacuation("a", true, 1));
        peer.state(FakePeer.evacuation("b", true, LATER_OFFSET));
        awaitEvacuated(gateway, 1);

        // Only the later statement about the other domain is in force, so the removal of the first one still holds.
        assertEquals(
                gateway.countEvents(ControlEventKind.EVACUATION_ENDED) + 1,
                gateway.countEvents(ControlEventKind.EVACUATION_REQUESTED));
        assertTrue(gateway.hasEvent(ControlEventKind.EVACUATION_REQUESTED, "b"));
    }

    /** Guards against a removal that was read late and overrides a newer request that a peer has stated. */
    @Test
    void testARemovalThatIsReadBeforeANewerRequestDoesNotEndIt() throws IOException {
        serveWithOneEndpoint();
        gateway.putEvacuation("a");
        awaitEvacuated(gateway, 1);
        peer.state(FakePeer.evacuation("a", true, LATER_OFFSET));
        peer.state(FakePeer.evacuation("b", true, LATER_OFFSET));
        awaitEvacuated(gateway, 2);

        gateway.removeEvacuation("a");
        gateway.configure(2, KEY);

        assertRefused();
        assertEquals(0, gateway.countEvents(ControlEventKind.EVACUATION_ENDED));
    }

    /** Guards against malformed statements that take effect, repeat their line or hide valid ones. */
    @Test
    void testMalformedStatementsAreRejectedOnceAndValidOnesApply() throws IOException {
        serveWithOneEndpoint();
        for (int time = 0; time < 3; time++) {
            peer.state(
                    FakePeer.evacuation("", true, LATER_OFFSET),
                    FakePeer.evacuation(" ", true, LATER_OFFSET),
                    FakePeer.evacuation("x".repeat(256), true, LATER_OFFSET),
                    FakePeer.evacuation("c", true, -1),
                    FakePeer.evacuation("c", true, LATER_OFFSET).toBuilder()
                            .setStoreEra(2)
                            .build(),
                    FakePeer.evacuation("c", true, LATER_OFFSET).toBuilder()
                            .setStoreEra(-1)
                            .build(),
                    FakePeer.evacuation("a", true, LATER_OFFSET + time));
        }
        peer.state(FakePeer.evacuation("b", true, LATER_OFFSET));
        awaitEvacuated(gateway, 2);

        assertRefused();
        assertEquals(1, gateway.countEvents(ControlEventKind.RECORD_REJECTED));
    }
}
