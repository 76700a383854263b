package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jasminehub.core.serving.EngineProfile;
import org.jasminehub.core.serving.ExpertLayout;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StreamConcurrencyLimitTest {
    private static final long MAX_GAP_MILLIS = 120;
    private static final int SLOTS = 8;
    private static final double STEP_MILLIS = 4.5;
    private static final double STEP_MILLIS_PER_REQUEST = 1.36;
    private static final int STEPS = 4;
    private static final EngineProfile ENGINE = new EngineProfile(
            SLOTS, 100_000, STEPS, STEP_MILLIS, STEP_MILLIS_PER_REQUEST, 60, 800, 96, ExpertLayout.NONE);

    private final ManualClock clock = new ManualClock(0);
    private final StreamConcurrencyLimit limit = new StreamConcurrencyLimit(clock);

    /** Returns the duration of a pass if the most loaded rank has {@code skew} times the mean load. */
    private static long passMillis(double callsPerSlot, double skew) {
        return Math.round(STEPS * (STEP_MILLIS + callsPerSlot * SLOTS * STEP_MILLIS_PER_REQUEST * skew));
    }

    private double runUntilStable(double skew) {
        double open = 1;
        for (int pass = 0; pass < 40; pass++) {
            long millis = passMillis(open, skew);
            clock.advanceMillis(millis);
            limit.onEventGap(millis);
            open = limit.callsPerSlot(ENGINE, MAX_GAP_MILLIS, open);
        }
        return open;
    }

    @Test
    void testBalancedGroupUsesAllSlots() {
        assertEquals(1, runUntilStable(1.2));
    }

    @Test
    void testUnbalancedGroupRunsAsManyCallsAsMeetGapBound() {
        double open = runUntilStable(3);

        assertTrue(passMillis(open, 3) <= MAX_GAP_MILLIS, "pass " + passMillis(open, 3));
        assertTrue(passMillis(open + 2.0 / SLOTS, 3) > MAX_GAP_MILLIS, "two more calls would also meet the bound");
    }

    @Test
    void testLimitIsRemovedAfterGroupIsBalancedAgain() {
        runUntilStable(3);

        assertEquals(1, runUntilStable(1.2));
    }

    @Nested
    final class WithoutUsableMeasurements {
        @Test
        void testNoStreamsMeansNoLimit() {
            assertEquals(1, limit.callsPerSlot(ENGINE, MAX_GAP_MILLIS, 0.9));
        }

        @Test
        void testOldGapsExpire() {
            limit.onEventGap(400);
            clock.advanceMillis(300);

            assertEquals(1, limit.callsPerSlot(ENGINE, MAX_GAP_MILLIS, 0.9));
        }

        @Test
        void testNoGapBoundMeansNoLimit() {
            limit.onEventGap(400);

            assertEquals(1, limit.callsPerSlot(ENGINE, 0, 0.9));
        }

        @Test
        void testStalledGroupKeepsMinimumOfCalls() {
            limit.onEventGap(5_000);

            assertTrue(limit.callsPerSlot(ENGINE, MAX_GAP_MILLIS, 0.9) >= 0.3);
        }
    }

    @Nested
    final class WithShiftingExpertDemand {
        private static final double EXPERT_SHARE = 0.85;
        private static final EngineProfile WITH_EXPERTS = new EngineProfile(
                SLOTS,
                100_000,
                STEPS,
                STEP_MILLIS,
                STEP_MILLIS_PER_REQUEST,
                60,
                800,
                96,
                new ExpertLayout(3, 96, 11, 4, 400, EXPERT_SHARE));

        @Test
        void testCallsStartedBeforeShiftMeetGapBoundAfterIt() {
            double open = limit.callsPerSlot(WITH_EXPERTS, MAX_GAP_MILLIS, 0.5);
            double skew = 1 - EXPERT_SHARE + EXPERT_SHARE * 3;

            assertTrue(open < 1);
            assertTrue(passMillis(open, skew) <= MAX_GAP_MILLIS, "pass " + passMillis(open, skew));
        }

        @Test
        void testSlowPassesReduceLimitFurther() {
            double withoutGaps = limit.callsPerSlot(WITH_EXPERTS, MAX_GAP_MILLIS, 0.5);
            limit.onEventGap(2 * MAX_GAP_MILLIS);

            assertTrue(limit.callsPerSlot(WITH_EXPERTS, MAX_GAP_MILLIS, 0.5) < withoutGaps);
        }

        @Test
        void testNoGapBoundMeansNoReserveForShift() {
            assertEquals(1, limit.callsPerSlot(WITH_EXPERTS, 0, 0.5));
        }
    }
}
