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

final class CallQueuePolicyTest {
    private static final long LEFT_MILLIS = 300;

    private final ManualClock clock = new ManualClock(10_000);
    private final CallQueuePolicy policy = new CallQueuePolicy(clock);

    private void endCalls(int perSecond, long forMillis) {
        long intervalMillis = 1_000 / perSecond;
        for (long elapsedMillis = 0; elapsedMillis < forMillis; elapsedMillis += intervalMillis) {
            clock.advanceMillis(intervalMillis);
            policy.onEnded();
        }
    }

    @Nested
    final class Admission {
        @Test
        void testCallMayWaitIfQueueDrainsInTime() {
            endCalls(10, 2_000);

            assertTrue(policy.mayWait(2, LEFT_MILLIS));
        }

        @Test
        void testCallIsRefusedIfQueueIsFarTooLong() {
            endCalls(10, 2_000);

            assertFalse(policy.mayWait(12, LEFT_MILLIS));
        }

        @Test
        void testCallWithoutTimeLeftMayNotWait() {
            assertFalse(policy.mayWait(0, 0));
        }

        @Test
        void testCallMayWaitIfDrainRateIsUnknown() {
            assertTrue(policy.mayWait(5, LEFT_MILLIS));
        }

        @Test
        void testOldCompletionsExpire() {
            endCalls(1, 1_000);
            clock.advanceMillis(5_000);

            assertTrue(policy.mayWait(5, LEFT_MILLIS));
        }
    }

    @Nested
    final class RetryTime {
        @Test
        void testRetryTimeIsExpectedDrainTime() {
            endCalls(10, 2_000);

            assertEquals(2_000, policy.retryAfterMillis(19, 0.5), 300);
        }

        @Test
        void testCallersRefusedTogetherGetDifferentRetryTimes() {
            endCalls(10, 2_000);
            Set<Long> times = new HashSet<>();
            for (int caller = 0; caller < 10; caller++) {
                times.add(policy.retryAfterMillis(10, caller / 10.0));
            }

            assertEquals(10, times.size());
        }

        @Test
        void testRetryTimeIsBounded() {
            endCalls(1, 1_000);

            assertTrue(policy.retryAfterMillis(500, 0.99) < 4_000);
        }

        @Test
        void testPositionOutsideJitterRangeIsRejected() {
            assertThrows(InvalidArgumentException.class, () -> policy.retryAfterMillis(1, 2));
        }
    }

    @Nested
    final class MaxWait {
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
        void testFirstAttemptWaitsLessThanTargetLatency() {
            assertFalse(CallQueuePolicy.isCallerRetry(route, TIMEOUT_MILLIS));
            assertTrue(CallQueuePolicy.maxWaitMillis(route, TIMEOUT_MILLIS) < TARGET_MILLIS);
        }

        @Test
        void testRetriedCallWaitsLongerButIsBounded() {
            long allowedMillis = 6_500;

            assertTrue(CallQueuePolicy.isCallerRetry(route, allowedMillis));
            assertTrue(CallQueuePolicy.maxWaitMillis(route, allowedMillis) > TARGET_MILLIS);
            assertTrue(CallQueuePolicy.maxWaitMillis(route, allowedMillis) < allowedMillis / 3);
        }

        @Test
        void testWaitOfRetriedCallIsLimitedByItsAllowedTime() {
            assertTrue(CallQueuePolicy.maxWaitMillis(route, 400) <= 100);
        }
    }
}
