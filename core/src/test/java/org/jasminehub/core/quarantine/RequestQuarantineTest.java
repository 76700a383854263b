package org.jasminehub.core.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RequestQuarantineTest {
    private static final String BAD = "bad";

    private final ManualClock clock = new ManualClock(10_000);
    private final RequestQuarantine quarantine = new RequestQuarantine(clock);
    private int endpoints;

    private EndpointIncarnation nextEndpoint() {
        return new EndpointIncarnation(new EndpointId("e-" + endpoints++), 1);
    }

    /** Another endpoint crashes under the request, 50 ms after it was sent there. */
    private boolean crash(String digest) {
        clock.advanceMillis(1_000);
        return quarantine.onCrash(digest, nextEndpoint(), 50, 0);
    }

    /** Which crashes count. */
    @Nested
    final class Evidence {
        @Test
        void testARequestIsQuarantinedAfterThreeCrashes() {
            assertFalse(crash(BAD));
            assertFalse(crash(BAD));
            assertEquals(0, quarantine.remainingMillis(BAD));

            assertTrue(crash(BAD));

            assertEquals(RequestQuarantine.QUARANTINE_MILLIS, quarantine.remainingMillis(BAD));
            assertEquals(Set.of(BAD), quarantine.quarantined());
            assertEquals(0, quarantine.remainingMillis("other"));
        }

        @Test
        void testARequestIsNotRetriedAfterTwoCrashes() {
            crash(BAD);
            assertFalse(quarantine.isSuspected(BAD));

            crash(BAD);

            assertTrue(quarantine.isSuspected(BAD));
        }

        @Test
        void testReportsOfOneCrashCountOnce() {
            EndpointIncarnation endpoint = nextEndpoint();
            for (int report = 0; report < 5; report++) {
                clock.advanceMillis(100);
                assertFalse(quarantine.onCrash(BAD, endpoint, 50, 0));
            }
            assertFalse(quarantine.isSuspected(BAD));
        }

        @Test
        void testEndpointsThatFailTogetherCountOnce() {
            clock.advanceMillis(1_000);
            for (int endpoint = 0; endpoint < 6; endpoint++) {
                clock.advanceMillis(5);
                assertFalse(quarantine.onCrash(BAD, nextEndpoint(), 100, 0));
            }
            assertFalse(quarantine.isSuspected(BAD));
        }

        @Test
        void testReportsThatArriveLateCountAsWhenTheyWereObserved() {
            clock.advanceMillis(10_000);
            assertFalse(quarantine.onCrash(BAD, nextEndpoint(), 8_050, 8_000));
            assertFalse(quarantine.onCrash(BAD, nextEndpoint(), 6_050, 6_000));

            assertTrue(quarantine.onCrash(BAD, nextEndpoint(), 4_050, 4_000));
        }

        @Test
        void testCrashesAreForgotten() {
            crash(BAD);
            crash(BAD);
            clock.advanceMillis(600_000);

            assertFalse(crash(BAD));
        }
    }

    /** Complete responses. */
    @Nested
    final class Responses {
        @Test
        void testACompleteResponseDisprovesEarlierCrashes() {
            crash(BAD);
            crash(BAD);

            assertTrue(quarantine.onCompleted(BAD));

            assertFalse(crash(BAD));
            assertFalse(crash(BAD));
            assertTrue(crash(BAD));
        }

        @Test
        void testAResponseAfterASingleCrashIsToldToOthers() {
            crash(BAD);

            assertTrue(quarantine.onCompleted(BAD));
        }

        @Test
        void testAReportFromBeforeTheResponseDoesNotCount() {
            crash(BAD);
            crash(BAD);
            quarantine.onCompleted(BAD);

            assertFalse(quarantine.onCrash(BAD, nextEndpoint(), 500, 400));

            assertFalse(quarantine.isActive());
        }

        @Test
        void testAResponseToAnUnsuspectedRequestIsNoNews() {
            assertFalse(quarantine.onCompleted(BAD));
        }
    }

    /** The length of a quarantine. */
    @Nested
    final class Terms {
        @Test
        void testOneCrashAfterAQuarantineBeginsALongerOne() {
            crash(BAD);
            crash(BAD);
            crash(BAD);
            clock.advanceMillis(RequestQuarantine.QUARANTINE_MILLIS);
            assertEquals(0, quarantine.remainingMillis(BAD));

            assertTrue(crash(BAD));

            assertEquals(2 * RequestQuarantine.QUARANTINE_MILLIS, quarantine.remainingMillis(BAD));
        }

        @Test
        void testAVerdictOfAPeerHoldsForItsRest() {
            assertTrue(quarantine.adopt(BAD, 40_000));
            assertFalse(quarantine.adopt(BAD, 30_000));

            assertEquals(40_000, quarantine.remainingMillis(BAD));
            clock.advanceMillis(40_000);
            assertTrue(crash(BAD));
        }

        @Test
        void testAHugeVerdictIsBounded() {
            quarantine.adopt(BAD, Long.MAX_VALUE);

            assertEquals(RequestQuarantine.MAX_QUARANTINE_MILLIS, quarantine.remainingMillis(BAD));
        }
    }
}
