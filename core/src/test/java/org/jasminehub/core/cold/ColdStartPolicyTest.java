package org.jasminehub.core.cold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.ColdStart;
import org.jasminehub.core.serving.ColdTime;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.EndpointRegistration;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ColdStartPolicyTest {
    private static final int ENDPOINTS = 72;
    private static final long COLD_MILLIS = 60_000;
    private static final ColdStart RATE_OF_23 = new ColdStart(3_000, 23, "");

    private final ManualClock clock = new ManualClock(0);
    private final ColdEndpoints cold = new ColdEndpoints(clock);
    private final SenderRanks ranks = new SenderRanks("g-0");
    private final ColdStartPolicy policy = new ColdStartPolicy(clock, cold, ranks);
    private final EndpointRecord endpoint =
            new EndpointRecord(new EndpointId("e"), 1, "s", "10.0.0.1", 80, new FailureDomain("a"), 7, false, null);
    private long sequence;

    private void state(long remainingMillis) {
        sequence++;
        cold.onRegistration(new EndpointRegistration(endpoint, sequence, ColdTime.ofMillis(remainingMillis)));
    }

    private boolean maySend(ColdStart coldStart) {
        return policy.maySend(endpoint, coldStart, ENDPOINTS);
    }

    /** Sends as many requests as allowed and returns them. */
    private List<ColdSend> sendAll(ColdStart coldStart) {
        List<ColdSend> sends = new ArrayList<>();
        while (maySend(coldStart)) {
            sends.add(policy.onSent(endpoint, coldStart, ENDPOINTS));
        }
        return sends;
    }

    /** A cold endpoint. */
    @Nested
    final class Cold {
        /** Fails if two views together exceed the rate, each of which may send half of it. */
        @Test
        void testOneViewGetsHalfOfTheRateInAnySecond() {
            state(COLD_MILLIS);
            clock.advanceMillis(1_000);

            assertEquals(11, sendAll(RATE_OF_23).size());
            clock.advanceMillis(999);
            assertFalse(maySend(RATE_OF_23));
            clock.advanceMillis(1);
            assertEquals(11, sendAll(RATE_OF_23).size());
        }

        /** Fails if a restarted process sends what its predecessor has already sent in the same second. */
        @Test
        void testAProcessStartsWithoutAllowance() {
            state(COLD_MILLIS);

            assertFalse(maySend(RATE_OF_23));
            clock.advanceMillis(999);
            assertFalse(maySend(RATE_OF_23));
        }

        /** Fails if a rate below two requests a second is lost, or exceeded by two views. */
        @Test
        void testSmallRatesGetOneRequestInALongerWindow() {
            ColdStart slow = new ColdStart(3_000, 0.3, "");
            state(COLD_MILLIS);
            assertFalse(maySend(slow));
            clock.advanceMillis(6_666);
            assertFalse(maySend(slow));
            clock.advanceMillis(1);

            assertEquals(1, sendAll(slow).size());
            clock.advanceMillis(6_666);
            assertFalse(maySend(slow));
            clock.advanceMillis(1);
            assertTrue(maySend(slow));
        }

        /** Fails if two halves of a split fleet, or a sender and its successor, send in the same second. */
        @Test
        void testOnlyAMajorityThatHasSettledUsesASmallRate() {
            ColdStart slow = new ColdStart(3_000, 1, "");
            state(COLD_MILLIS);
            clock.advanceMillis(30_000);
            ranks.update(List.of("g-0"), 2);
            assertFalse(maySend(slow));
            ranks.update(List.of("g-0"), 1);
            assertFalse(maySend(slow));
            clock.advanceMillis(1_999);
            assertFalse(maySend(slow));
            clock.advanceMillis(1);
            assertTrue(maySend(slow));
        }

        /** Fails if requests that a process had chosen before it was frozen are written beside those of its successors. */
        @Test
        void testARequestThatWasChosenLongAgoNeedsAllowanceAtTheWrite() {
            state(COLD_MILLIS);
            clock.advanceMillis(1_000);
            List<ColdSend> chosen = sendAll(RATE_OF_23);
            clock.advanceMillis(5_000);
            List<ColdSend> later = sendAll(RATE_OF_23);

            assertTrue(later.stream().allMatch(policy::mayWrite));
            assertTrue(chosen.stream().noneMatch(policy::mayWrite));
        }

        /** Fails if the window counts from the choice although the write came later. */
        @Test
        void testTheWindowCountsFromTheWrite() {
            state(COLD_MILLIS);
            clock.advanceMillis(1_000);
            List<ColdSend> sends = sendAll(RATE_OF_23);
            clock.advanceMillis(900);
            assertTrue(sends.stream().allMatch(policy::mayWrite));
            clock.advanceMillis(999);

            assertFalse(maySend(RATE_OF_23));
        }

        /** Fails if an exchange that is written once more escapes the allowance. */
        @Test
        void testASecondWriteOfARequestNeedsAllowanceOfItsOwn() {
            state(COLD_MILLIS);
            clock.advanceMillis(1_000);
            List<ColdSend> sends = sendAll(RATE_OF_23);
            sends.forEach(policy::mayWrite);

            assertFalse(policy.mayWrite(sends.get(0)));
        }

        /** Fails if an endpoint that turned cold between choice and write gets the request nevertheless. */
        @Test
        void testAnEndpointThatTurnsColdAfterTheChoiceIsProtectedAtTheWrite() {
            state(0);
            List<ColdSend> sends = sendAll(RATE_OF_23);
            state(COLD_MILLIS);

            assertTrue(sends.stream().noneMatch(policy::mayWrite));
        }

        /** Fails if instances that hear only few others each take the place of all senders. */
        @Test
        void testAMinorityGetsOnlyItsShare() {
            state(COLD_MILLIS);
            clock.advanceMillis(1_000);
            ranks.update(List.of("g-0"), 43);
            assertEquals(0, sendAll(RATE_OF_23).size());

            ranks.update(List.of("g-0"), 7);
            assertEquals(1, sendAll(RATE_OF_23).size());
        }

        @Test
        void testCallersAreToldToReturnWithinTheWindow() {
            state(COLD_MILLIS);
            clock.advanceMillis(1_000);
            assertTrue(policy.retryAfterMillis(List.of(endpoint), RATE_OF_23, 0).isEmpty());
            sendAll(RATE_OF_23);
            clock.advanceMillis(400);

            assertEquals(
                    600,
                    policy.retryAfterMillis(List.of(endpoint), RATE_OF_23, 0).orElseThrow());
            assertEquals(
                    1_100,
                    policy.retryAfterMillis(List.of(endpoint), RATE_OF_23, 1).orElseThrow());
        }
    }

    /** An endpoint that is not known to be cold. */
    @Nested
    final class Warm {
        /** Fails if an idle endpoint that turned cold unnoticed gets the calls of all instances. */
        @Test
        void testTheSendersOfAnIdleEndpointStayWithinTheBoundTogether() {
            int total = 0;
            List<String> names = new ArrayList<>();
            for (int number = 0; number < 43; number++) {
                names.add("g-" + number);
            }
            for (String name : names) {
                SenderRanks own = new SenderRanks(name);
                own.update(names, names.size());
                ColdStartPolicy each = new ColdStartPolicy(clock, cold, own);
                state(0);
                while (each.maySend(endpoint, RATE_OF_23, ENDPOINTS)) {
                    each.onSent(endpoint, RATE_OF_23, ENDPOINTS);
                    total++;
                }
            }

            assertEquals(16, total);
        }

        /** Fails if the limit holds back a warm endpoint that responds quickly. */
        @Test
        void testEachResponseAllowsOneRequestMore() {
            state(0);
            int first = sendAll(RATE_OF_23).size();
            for (int response = 0; response < first; response++) {
                policy.onResponse(endpoint.incarnation());
            }

            assertEquals(first, sendAll(RATE_OF_23).size());
        }

        /** Fails if instances cannot reach any endpoint of a service with few of them. */
        @Test
        void testAllInstancesReachTheEndpointsOfASmallService() {
            List<String> names = new ArrayList<>();
            for (int number = 0; number < 43; number++) {
                names.add("g-" + number);
            }
            state(0);
            for (String name : names) {
                SenderRanks own = new SenderRanks(name);
                own.update(names, names.size());
                assertTrue(new ColdStartPolicy(clock, cold, own).maySend(endpoint, RATE_OF_23, 3));
            }
        }

        /** Fails if all calls return at once when the cold time ends. */
        @Test
        void testTheAllowanceGrowsGraduallyAfterTheColdTime() {
            clock.advanceMillis(2_000);
            state(10);
            clock.advanceMillis(10);
            List<Integer> sent = new ArrayList<>();
            for (int step = 0; step < 3; step++) {
                sent.add(sendAll(RATE_OF_23).size());
                clock.advanceMillis(1_000);
            }

            assertEquals(List.of(11, 13, 16), sent);
        }
    }
}
