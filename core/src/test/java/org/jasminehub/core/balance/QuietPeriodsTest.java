package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class QuietPeriodsTest {
    private static final int SLOTS = 8;

    private final ManualClock clock = new ManualClock(10_000);
    private final QuietPeriods quiet = new QuietPeriods(clock);
    private final EndpointRecord one = endpoint("e-1", 100);
    private final EndpointRecord two = endpoint("e-2", 100);

    private static EndpointRecord endpoint(String id, long started) {
        return new EndpointRecord(
                new EndpointId(id), started, "s", "10.0.0.1", 1, new FailureDomain("a"), SLOTS, false, null);
    }

    /** Sends as many requests as are accepted now and returns their number. */
    private int sendAll(EndpointRecord endpoint) {
        int sent = 0;
        while (quiet.accepts(endpoint) && sent < 1_000) {
            quiet.onSent(endpoint.incarnation());
            sent++;
        }
        return sent;
    }

    /** When a period begins and ends. */
    @Nested
    final class Period {
        @Test
        void testNothingIsSentUntilThePeriodEnds() {
            assertTrue(quiet.accepts(one));

            assertTrue(quiet.onRequested(one.incarnation(), 500));

            assertTrue(quiet.isQuiet(one.incarnation()));
            clock.advanceMillis(499);
            assertTrue(quiet.isQuiet(one.incarnation()));
            assertFalse(quiet.accepts(one));
            clock.advanceMillis(1);
            assertFalse(quiet.isQuiet(one.incarnation()));
            assertTrue(quiet.accepts(one));
        }

        @Test
        void testTheLaterEndApplies() {
            quiet.onRequested(one.incarnation(), 500);
            clock.advanceMillis(100);

            assertFalse(quiet.onRequested(one.incarnation(), 100));
            clock.advanceMillis(399);
            assertTrue(quiet.isQuiet(one.incarnation()));

            assertFalse(quiet.onRequested(one.incarnation(), 100));
            clock.advanceMillis(99);
            assertTrue(quiet.isQuiet(one.incarnation()));
            clock.advanceMillis(1);
            assertFalse(quiet.isQuiet(one.incarnation()));
        }

        @Test
        void testAPeriodOfZeroIsNone() {
            assertFalse(quiet.onRequested(one.incarnation(), 0));

            assertTrue(quiet.accepts(one));
            assertFalse(quiet.isActive());
        }

        @Test
        void testAnotherRunOfTheSameEndpointIsNotAffected() {
            quiet.onRequested(one.incarnation(), 500);

            assertTrue(quiet.accepts(endpoint("e-1", 101)));
            assertFalse(quiet.isQuiet(endpoint("e-1", 101).incarnation()));
        }

        @Test
        void testAPeriodCanBeginAgainAfterItsEnd() {
            quiet.onRequested(one.incarnation(), 500);
            clock.advanceMillis(500);

            assertTrue(quiet.onRequested(one.incarnation(), 500));
            assertFalse(quiet.accepts(one));
        }

        @Test
        void testPeriodsAreForgottenAfterTheSlowStart() {
            quiet.onRequested(one.incarnation(), 500);
            assertEquals(1, quiet.quietCount());
            clock.advanceMillis(500);
            assertEquals(0, quiet.quietCount());
            assertTrue(quiet.isActive());
            clock.advanceMillis(QuietPeriods.SLOW_START_MILLIS);

            assertFalse(quiet.isActive());
        }
    }

    /** How many requests are sent after a period. */
    @Nested
    final class SlowStart {
        @Test
        void testTheNumberOfOpenRequestsGrowsGradually() {
            quiet.onRequested(one.incarnation(), 500);
            clock.advanceMillis(500);
            assertEquals(1, sendAll(one));
            clock.advanceMillis(QuietPeriods.SLOW_START_MILLIS / 2);
            assertEquals(SLOTS / 2 - 1, sendAll(one));
            clock.advanceMillis(QuietPeriods.SLOW_START_MILLIS / 2 - 1);
            assertEquals(SLOTS / 2 - 1, sendAll(one));
            clock.advanceMillis(1);
            assertEquals(1_000, sendAll(one));
        }

        @Test
        void testAnEndedRequestMakesRoomForAnother() {
            quiet.onRequested(one.incarnation(), 500);
            clock.advanceMillis(500);
            long sentMillis = clock.monotonicMillis();
            sendAll(one);
            clock.advanceMillis(10);
            assertFalse(quiet.accepts(one));

            quiet.onEnded(one.incarnation(), sentMillis);

            assertEquals(1, sendAll(one));
        }

        @Test
        void testRequestsFromBeforeThePeriodDoNotCount() {
            quiet.onSent(one.incarnation());
            long sentMillis = clock.monotonicMillis();
            clock.advanceMillis(10);
            quiet.onRequested(one.incarnation(), 500);
            clock.advanceMillis(500);
            assertEquals(1, sendAll(one));

            quiet.onEnded(one.incarnation(), sentMillis);

            assertFalse(quiet.accepts(one));
        }
    }

    /** Calls to a service whose endpoints are all quiet. */
    @Nested
    final class Return {
        @Test
        void testCallersReturnSpreadAfterTheEarliestEnd() {
            quiet.onRequested(one.incarnation(), 5_000);
            quiet.onRequested(two.incarnation(), 3_000);
            clock.advanceMillis(1_000);

            assertEquals(OptionalLong.of(2_000), quiet.retryAfterMillis(List.of(one, two), 0));
            assertEquals(
                    OptionalLong.of(2_000 + QuietPeriods.RETURN_SPREAD_MILLIS),
                    quiet.retryAfterMillis(List.of(one, two), 1));
        }

        @Test
        void testOneEndpointThatIsNotQuietIsEnough() {
            quiet.onRequested(one.incarnation(), 5_000);

            assertEquals(OptionalLong.empty(), quiet.retryAfterMillis(List.of(one, two), 0.5));
        }

        @Test
        void testAnEndpointInItsSlowStartIsNotQuiet() {
            quiet.onRequested(one.incarnation(), 500);
            clock.advanceMillis(500);
            sendAll(one);

            assertEquals(OptionalLong.empty(), quiet.retryAfterMillis(List.of(one), 0.5));
        }

        @Test
        void testNoEndpointsAreNotQuiet() {
            quiet.onRequested(one.incarnation(), 500);

            assertEquals(OptionalLong.empty(), quiet.retryAfterMillis(List.of(), 0.5));
        }
    }
}
