package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class LeavingEndpointsTest {
    private final ManualClock clock = new ManualClock(10_000);
    private final LeavingEndpoints leaving = new LeavingEndpoints(clock);
    private final EndpointRecord first = endpoint("e-1", 100, 1);

    private static EndpointRecord endpoint(String id, long started, int port) {
        return new EndpointRecord(
                new EndpointId(id), started, "s", "10.0.0.1", port, new FailureDomain("a"), 8, false, null);
    }

    /** The endpoint to which an announcement applies. */
    @Nested
    final class Identity {
        @Test
        void testAnEndpointIsLeavingOnceItHasAnnouncedIt() {
            assertFalse(leaving.isLeaving(first));

            assertTrue(leaving.onAnnounced(first.incarnation()));

            assertTrue(leaving.isLeaving(first));
        }

        @Test
        void testOnlyTheFirstAnnouncementIsNew() {
            leaving.onAnnounced(first.incarnation());

            assertFalse(leaving.onAnnounced(first.incarnation()));
        }

        @Test
        void testAnotherEndpointAtTheSameAddressIsNotLeaving() {
            leaving.onAnnounced(first.incarnation());

            assertFalse(leaving.isLeaving(endpoint("e-2", 200, first.port())));
        }

        @Test
        void testAnEndpointThatMovedIsStillLeaving() {
            leaving.onAnnounced(first.incarnation());

            assertTrue(leaving.isLeaving(endpoint("e-1", 100, 2)));
        }

        @Test
        void testALaterRunUnderTheSameIdIsNotLeaving() {
            leaving.onAnnounced(first.incarnation());

            assertFalse(leaving.isLeaving(endpoint("e-1", 101, 1)));
        }

        @Test
        void testALateAnnouncementOfAnEarlierRunDoesNotAffectTheLaterOne() {
            EndpointRecord later = endpoint("e-1", 101, 1);
            leaving.onRegistrations(List.of(later));

            leaving.onAnnounced(first.incarnation());

            assertFalse(leaving.isLeaving(later));
        }
    }

    /** How long an announcement is remembered. */
    @Nested
    final class Memory {
        @Test
        void testARegisteredEndpointStaysLeaving() {
            leaving.onAnnounced(first.incarnation());
            for (int read = 0; read < 5; read++) {
                clock.advanceMillis(LeavingEndpoints.KEPT_AFTER_REMOVAL_MILLIS);
                leaving.onRegistrations(List.of(first));
            }

            assertTrue(leaving.isLeaving(first));
        }

        @Test
        void testARegistrationThatReappearsSoonIsStillLeaving() {
            leaving.onAnnounced(first.incarnation());
            leaving.onRegistrations(List.of());
            clock.advanceMillis(LeavingEndpoints.KEPT_AFTER_REMOVAL_MILLIS - 1);
            leaving.onRegistrations(List.of(first));
            clock.advanceMillis(LeavingEndpoints.KEPT_AFTER_REMOVAL_MILLIS);
            leaving.onRegistrations(List.of(first));

            assertTrue(leaving.isLeaving(first));
        }

        @Test
        void testAnEndpointThatIsGoneIsForgotten() {
            leaving.onAnnounced(first.incarnation());
            leaving.onRegistrations(List.of());
            clock.advanceMillis(LeavingEndpoints.KEPT_AFTER_REMOVAL_MILLIS);
            leaving.onRegistrations(List.of());

            assertEquals(0, leaving.size());
        }

        @Test
        void testTimeWithoutRegistrationsForgetsNothing() {
            leaving.onAnnounced(first.incarnation());
            leaving.onRegistrations(List.of(first));
            clock.advanceMillis(10 * LeavingEndpoints.KEPT_AFTER_REMOVAL_MILLIS);

            assertTrue(leaving.isLeaving(first));
            leaving.onRegistrations(List.of(first));
            assertTrue(leaving.isLeaving(first));
        }
    }
}
