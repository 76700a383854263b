package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jasminehub.core.error.InvalidArgumentException;
import org.jasminehub.core.serving.CallKind;
import org.jasminehub.core.serving.Route;
import org.jasminehub.core.serving.WeightedService;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A line of calls, replayed with a manual clock. */
final class WaitingLinePolicyTest {
    private static final long LEFT_MILLIS = 300;

    private final ManualClock clock = new ManualClock(10_000);
    private final WaitingLinePolicy policy = new WaitingLinePolicy(clock);

    private void endCalls(int perSecond, long forMillis) {
        long pauseMillis = 1_000 / perSecond;
        for (long passed = 0; passed < forMillis; passed += pauseMillis) {
            clock.advanceMillis(pauseMillis);
            policy.onEnded();
        }
    }

    @Nested
    final class Admission {
        @Test
        void testACallWaitsWhereTheLineMovesInTime() {
            endCalls(10, 2_000);

            assertTrue(policy.mayWait(2, LEFT_MILLIS));
        }

        @Test
        void testACallIsRefusedAtOnceWhereTheLineIsFarTooLong() {
            endCalls(10, 2_000);

            assertFalse(policy.mayWait(12, LEFT_MILLIS));
        }

        @Test
        void testNothingWaitsWithNoTimeLeft() {
            assertFalse(policy.mayWait(0, 0));
        }

        @Test
        void testALineOfUnknownSpeedIsTried() {
            assertTrue(policy.mayWait(5, LEFT_MILLIS));
        }

        @Test
        void testOldEndingsAreForgotten() {
            endCalls(1, 1_000);
            clock.advanceMillis(5_000);

            assertTrue(policy.mayWait(5, LEFT_MILLIS));
        }
    }

    @Nested
    final class Return {
        @Test
        void testCallersComeBackWhenTheLineIsGone() {
            endCalls(10, 2_000);

            assertEquals(2_000, policy.returnMillis(19, 0.5), 300);
        }

        @Test
        void testCallersThatAreRefusedTogetherComeBackApart() {
            endCalls(10, 2_000);
            Set<Long> times = new HashSet<>();
            for (int caller = 0; caller < 10; caller++) {
                times.add(policy.returnMillis(10, caller / 10.0));
            }

            assertEquals(10, times.size());
        }

        @Test
        void testALongLineDoesNotSendCallersAwayForever() {
            endCalls(1, 1_000);

            assertTrue(policy.returnMillis(500, 0.99) < 4_000);
        }

        @Test
        void testAPositionOutsideTheSpreadIsRefused() {
            assertThrows(InvalidArgumentException.class, () -> policy.returnMillis(1, 2));
        }
    }

    @Nested
    final class Patience {
        private static final long TIMEOUT_MILLIS = 8_000;
        private static final long TARGET_MILLIS = 500;

        private final Route route = new Route(
                "r",
                "h",
                "/",
                CallKind.STREAMING,
                TIMEOUT_MILLIS,
                TARGET_MILLIS,
                120,
                1,
                List.of(new WeightedService("s", 1)),
                2,
                false,
                true);

        @Test
        void testACallWaitsOnlyAsLongAsItCanStillBeInTime() {
            assertFalse(WaitingLinePolicy.hasReturned(route, TIMEOUT_MILLIS));
            assertTrue(WaitingLinePolicy.waitMillis(route, TIMEOUT_MILLIS) < TARGET_MILLIS);
        }

        @Test
        void testACallerThatCameBackWaitsLongerButNotForever() {
            long allowedMillis = 6_500;

            assertTrue(WaitingLinePolicy.hasReturned(route, allowedMillis));
            assertTrue(WaitingLinePolicy.waitMillis(route, allowedMillis) > TARGET_MILLIS);
            assertTrue(WaitingLinePolicy.waitMillis(route, allowedMillis) < allowedMillis / 3);
        }

        @Test
        void testACallerWithLittleTimeLeftIsNotHeldForIt() {
            assertTrue(WaitingLinePolicy.waitMillis(route, 400) <= 100);
        }
    }
}
