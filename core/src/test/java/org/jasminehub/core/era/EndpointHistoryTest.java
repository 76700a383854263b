package org.jasminehub.core.era;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.EndpointRegistration;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EndpointHistoryTest {
    private final ManualClock clock = new ManualClock(0);
    private final EraTracker eras = new EraTracker(clock);
    private final EndpointHistory history = new EndpointHistory(eras, clock);

    @BeforeEach
    void start() {
        eras.observe(new StoreEra(1));
    }

    private static EndpointRegistration registration(long started, long sequence, boolean isDraining) {
        return new EndpointRegistration(
                new EndpointRecord(
                        new EndpointId("e"), started, "s", "10.0.0.1", 80, new FailureDomain("a"), 8, isDraining, null),
                sequence);
    }

    private void restore() {
        eras.observe(new StoreEra(eras.current().orElseThrow().number() + 1));
    }

    /** Endpoints that were removed or drain. */
    @Nested
    final class Departures {
        @Test
        void testRestoredRegistrationOfADepartedEndpointIsOutdated() {
            history.onAccepted(registration(100, 7, false));
            history.onDeparted(new EndpointId("e"));
            restore();

            assertTrue(history.isOutdated(registration(100, 7, false)));
            assertTrue(history.isOutdated(registration(100, 6, false)));
        }

        @Test
        void testRestoredRegistrationOfADrainingEndpointIsOutdated() {
            history.onAccepted(registration(100, 7, true));
            restore();

            assertTrue(history.isOutdated(registration(100, 6, false)));
        }

        @Test
        void testEndpointThatWritesAgainIsBelieved() {
            history.onAccepted(registration(100, 7, false));
            history.onDeparted(new EndpointId("e"));
            restore();

            assertFalse(history.isOutdated(registration(100, 8, false)));
            assertFalse(history.isOutdated(registration(200, 1, false)));
        }

        @Test
        void testWithoutARestoreTheLogIsBelieved() {
            history.onAccepted(registration(100, 7, false));
            history.onDeparted(new EndpointId("e"));

            assertFalse(history.isOutdated(registration(100, 7, false)));
        }

        @Test
        void testSecondRestoreDoesNotRevokeWhatIsKnown() {
            history.onAccepted(registration(100, 7, false));
            history.onDeparted(new EndpointId("e"));
            restore();
            restore();

            assertTrue(history.isOutdated(registration(100, 7, false)));
        }
    }

    /** Endpoints in use. */
    @Nested
    final class Serving {
        @Test
        void testOlderRegistrationOfAServingEndpointIsOutdated() {
            history.onAccepted(registration(100, 7, false));
            restore();

            assertTrue(history.isOutdated(registration(100, 6, true)));
            assertFalse(history.isOutdated(registration(100, 7, false)));
        }

        @Test
        void testEarlierRunUnderTheSameNameIsOutdated() {
            history.onAccepted(registration(200, 1, false));
            restore();

            assertTrue(history.isOutdated(registration(100, 90, false)));
        }
    }

    /** Departures known to peers. */
    @Nested
    final class Peers {
        @Test
        void testDepartureReachesAProcessThatStartedAfterTheRestore() {
            history.onAccepted(registration(100, 7, false));
            history.onDeparted(new EndpointId("e"));
            restore();
            List<DepartedEndpoint> shared = history.departedBeforeRestore();
            EndpointHistory other = new EndpointHistory(eras, clock);
            other.onAccepted(registration(100, 6, false));

            shared.forEach(other::onPeerDeparture);

            assertTrue(other.isDeparted(registration(100, 6, false).endpoint()));
            assertTrue(other.isOutdated(registration(100, 7, false)));
            assertFalse(other.isOutdated(registration(100, 8, false)));
        }

        @Test
        void testDepartureOlderThanARegistrationIsIgnored() {
            history.onAccepted(registration(100, 8, false));

            history.onPeerDeparture(new DepartedEndpoint(new EndpointId("e"), 100, 7));

            assertFalse(history.isDeparted(registration(100, 8, false).endpoint()));
        }

        @Test
        void testDeparturesAfterTheRestoreAreNotShared() {
            restore();
            history.onAccepted(registration(100, 7, false));
            history.onDeparted(new EndpointId("e"));

            assertEquals(List.of(), history.departedBeforeRestore());
        }
    }

    @Test
    void testDeparturesAreForgottenAfterAMinute() {
        history.onAccepted(registration(100, 7, false));
        history.onDeparted(new EndpointId("e"));
        clock.advanceMillis(60_001);

        history.onDeparted(new EndpointId("other"));
        restore();

        assertFalse(history.isOutdated(registration(100, 7, false)));
    }
}
