package org.jasminehub.core.experts.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jasminehub.core.error.InvalidArgumentException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the detection of demand shifts from the reports of several ranks. */
final class DemandWindowTest {
    private static final int RANKS = 4;
    private static final long INTERVAL_MILLIS = 100;
    private static final long[] FIRST = {700, 200, 100, 0};
    private static final long[] SECOND = {0, 100, 200, 700};

    private final DemandWindow window = new DemandWindow(1, 4, 95, 0);
    private long nowMillis;

    /** Adds one report with {@code choices} from every rank, spread over one interval. */
    private void report(long[] choices) {
        for (int rank = 0; rank < RANKS; rank++) {
            nowMillis += INTERVAL_MILLIS / RANKS;
            window.add(nowMillis, choices);
        }
    }

    private void report(long[] choices, int times) {
        for (int time = 0; time < times; time++) {
            report(choices);
        }
    }

    private double share(int expert) {
        double[] choices = window.choices()[0];
        double total = 0;
        for (double each : choices) {
            total += each;
        }
        return choices[expert] / total;
    }

    @Test
    void testWindowSettlesOnlyAfterSeveralPasses() {
        report(FIRST);

        assertFalse(window.isSettled());

        report(FIRST, 3);

        assertTrue(window.isSettled());
        assertEquals(0.7, share(0), 1e-9);
    }

    @Test
    void testCountsOfAnotherShapeAreRejected() {
        assertThrows(InvalidArgumentException.class, () -> window.add(0, new long[3]));
    }

    @Nested
    final class AfterShift {
        @BeforeEach
        void shift() {
            report(FIRST, 8);
            report(SECOND);
        }

        @Test
        void testWindowWithMixedDemandIsNotSettled() {
            // Reports of the new demand from some of the ranks do not complete a bucket yet.
            window.add(nowMillis + 1, SECOND);

            for (int time = 0; time < 3 && window.lastShiftMillis() == Long.MIN_VALUE; time++) {
                assertFalse(window.isSettled());
                report(SECOND);
            }
        }

        @Test
        void testAfterThreeReportsAtMostTenPercentOfWindowIsOldDemand() {
            report(SECOND, 3);

            assertTrue(window.isSettled());
            assertTrue(window.lastShiftMillis() > Long.MIN_VALUE);
            assertTrue(share(0) <= 0.1 * 0.7, "share " + share(0));
        }

        @Test
        void testAfterFiveReportsNoOldDemandIsLeft() {
            report(SECOND, 5);

            assertEquals(0, share(0));
        }

        @Test
        void testNextShiftIsDetected() {
            report(SECOND, 6);
            final long firstMillis = window.lastShiftMillis();
            report(FIRST, 6);

            assertTrue(window.lastShiftMillis() > firstMillis);
            assertEquals(0.7, share(0), 1e-9);
        }
    }

    @Nested
    final class WithoutShift {
        @Test
        void testSmallVariationIsNoShift() {
            long[] varied = {600, 250, 150, 0};
            for (int time = 0; time < 6; time++) {
                report(FIRST);
                report(varied);
            }

            assertEquals(Long.MIN_VALUE, window.lastShiftMillis());
            assertTrue(window.isSettled());
        }
    }

    @Test
    void testARoundOfReportsIsCountedTogether() {
        report(FIRST);
        long first = window.newestRoundMillis();
        report(FIRST);
        long second = window.newestRoundMillis();

        assertTrue(second > first);
        window.add(nowMillis, FIRST);
        assertTrue(window.newestRoundMillis() - second <= INTERVAL_MILLIS);
    }
}
