package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jasminehub.core.serving.EngineProfile;
import org.jasminehub.core.serving.ExpertLayout;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A group whose passes get longer, replayed with a manual clock. */
final class StreamPaceLimitTest {
    private static final long MAX_PAUSE_MILLIS = 120;
    private static final int SLOTS = 8;
    private static final double STEP_MILLIS = 4.5;
    private static final double STEP_MILLIS_PER_REQUEST = 1.36;
    private static final int STEPS = 4;
    private static final EngineProfile ENGINE = new EngineProfile(
            SLOTS, 100_000, STEPS, STEP_MILLIS, STEP_MILLIS_PER_REQUEST, 60, 800, 96, ExpertLayout.NONE);

    private final ManualClock clock = new ManualClock(0);
    private final StreamPaceLimit limit = new StreamPaceLimit(clock);

    /** The time of a pass with {@code perSlot} calls for each slot, the busiest rank having {@code skew} times the mean. */
    private static long passMillis(double perSlot, double skew) {
        return Math.round(STEPS * (STEP_MILLIS + perSlot * SLOTS * STEP_MILLIS_PER_REQUEST * skew));
    }

    private double settle(double skew) {
        double open = 1;
        for (int pass = 0; pass < 40; pass++) {
            long millis = passMillis(open, skew);
            clock.advanceMillis(millis);
            limit.onPause(millis);
            open = limit.callsPerSlot(ENGINE, MAX_PAUSE_MILLIS, open);
        }
        return open;
    }

    @Test
    void testABalancedGroupFillsItsSlots() {
        assertEquals(1, settle(1.2));
    }

    @Test
    void testAnUnbalancedGroupRunsAsManyCallsAsPauseInTime() {
        double open = settle(3);

        assertTrue(passMillis(open, 3) <= MAX_PAUSE_MILLIS, "pass " + passMillis(open, 3));
        assertTrue(passMillis(open + 2.0 / SLOTS, 3) > MAX_PAUSE_MILLIS, "two calls more would be in time too");
    }

    @Test
    void testTheLimitIsLiftedOnceTheGroupIsBalancedAgain() {
        settle(3);

        assertEquals(1, settle(1.2));
    }

    @Nested
    final class WithNothingToGoBy {
        @Test
        void testWithoutStreamsThereIsNoLimit() {
            assertEquals(1, limit.callsPerSlot(ENGINE, MAX_PAUSE_MILLIS, 0.9));
        }

        @Test
        void testOldPausesAreForgotten() {
            limit.onPause(400);
            clock.advanceMillis(300);

            assertEquals(1, limit.callsPerSlot(ENGINE, MAX_PAUSE_MILLIS, 0.9));
        }

        @Test
        void testWithoutABoundOnPausesThereIsNoLimit() {
            limit.onPause(400);

            assertEquals(1, limit.callsPerSlot(ENGINE, 0, 0.9));
        }

        @Test
        void testAGroupThatStoodStillIsNotEmptied() {
            limit.onPause(5_000);

            assertTrue(limit.callsPerSlot(ENGINE, MAX_PAUSE_MILLIS, 0.9) >= 0.3);
        }
    }

    @Nested
    final class WithExpertsWhoseDemandShifts {
        private static final double SHARE = 0.85;
        private static final EngineProfile WITH_EXPERTS = new EngineProfile(
                SLOTS,
                100_000,
                STEPS,
                STEP_MILLIS,
                STEP_MILLIS_PER_REQUEST,
                60,
                800,
                96,
                new ExpertLayout(3, 96, 11, 4, 400, SHARE));

        @Test
        void testTheCallsThatRunBeforeAShiftStillPauseInTimeAfterIt() {
            double open = limit.callsPerSlot(WITH_EXPERTS, MAX_PAUSE_MILLIS, 0.5);
            double skew = 1 - SHARE + SHARE * 3;

            assertTrue(open < 1);
            assertTrue(passMillis(open, skew) <= MAX_PAUSE_MILLIS, "pass " + passMillis(open, skew));
        }

        @Test
        void testSlowPassesLowerTheLimitFurther() {
            double calm = limit.callsPerSlot(WITH_EXPERTS, MAX_PAUSE_MILLIS, 0.5);
            limit.onPause(2 * MAX_PAUSE_MILLIS);

            assertTrue(limit.callsPerSlot(WITH_EXPERTS, MAX_PAUSE_MILLIS, 0.5) < calm);
        }

        @Test
        void testWithoutABoundOnPausesNothingIsKeptFree() {
            assertEquals(1, limit.callsPerSlot(WITH_EXPERTS, 0, 0.5));
        }
    }
}
