package org.jasminehub.core.experts.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class CountSamplingTest {
    @Test
    void testSmallGroupsReportInEveryPass() {
        assertEquals(95, CountSampling.intervalMillis(12, 3, 96));
        assertEquals(95, CountSampling.intervalMillis(24, 16, 96));
    }

    @Test
    void testLargeGroupsReportLessOften() {
        long numbersPerSecond = 64L * 12 * 256 * 1_000 / CountSampling.intervalMillis(64, 12, 256);

        assertTrue(numbersPerSecond < 1_100_000, numbersPerSecond + " numbers");
    }

    @Test
    void testAShiftIsDetectedInTimeInTheLargestGroups() {
        assertEquals(300, CountSampling.intervalMillis(1_000, 60, 256));
    }
}
