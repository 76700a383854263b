package org.jasminehub.core.intake;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class DiscardAllowanceTest {
    private static final long BYTES_PER_SECOND = 1_000;

    private final ManualClock clock = new ManualClock(10_000);
    private final DiscardAllowance allowance = new DiscardAllowance(BYTES_PER_SECOND, clock);

    @Test
    void testOneSecondsWorthIsAvailableAtOnce() {
        assertTrue(allowance.tryUse(BYTES_PER_SECOND));
        assertFalse(allowance.tryUse(1));
        assertEquals(1, allowance.refusals());
    }

    @Test
    void testTheAllowanceIsRefilledWithTime() {
        allowance.tryUse(BYTES_PER_SECOND);
        clock.advanceMillis(500);

        assertTrue(allowance.tryUse(500));
        assertFalse(allowance.tryUse(1));
    }

    @Test
    void testNoMoreThanOneSecondsWorthAccumulates() {
        clock.advanceMillis(60_000);

        assertFalse(allowance.tryUse(BYTES_PER_SECOND + 1));
    }
}
