package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.jasminehub.core.error.InvalidArgumentException;
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
}
