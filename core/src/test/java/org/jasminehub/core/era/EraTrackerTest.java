package org.jasminehub.core.era;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.jasminehub.core.error.InvalidArgumentException;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class EraTrackerTest {
    private final ManualClock clock = new ManualClock(1_000);
    private final EraTracker eras = new EraTracker(clock);

    @Test
    void testFirstEraIsNoRise() {
        assertEquals(EraTracker.Observation.FIRST, eras.observe(new StoreEra(3)));

        assertFalse(eras.isRewriting());
        assertTrue(eras.isCompleteSince(0));
    }

    @Test
    void testRiseRunsListenersOnceAndLostRecordsCountAsWrittenAgainLater() {
        AtomicInteger rises = new AtomicInteger();
        eras.onRise(rises::incrementAndGet);
        eras.observe(new StoreEra(3));

        assertEquals(EraTracker.Observation.RISEN, eras.observe(new StoreEra(4)));
        assertEquals(EraTracker.Observation.CURRENT, eras.observe(new StoreEra(4)));

        assertEquals(1, rises.get());
        assertEquals(EraTracker.REWRITE_MILLIS, eras.rewriteRemainingMillis());
        clock.advanceMillis(EraTracker.REWRITE_MILLIS - 1);
        assertTrue(eras.isRewriting());
        assertFalse(eras.isCompleteSince(clock.monotonicMillis()));
        clock.advanceMillis(1);
        assertFalse(eras.isRewriting());
        assertTrue(eras.isCompleteSince(clock.monotonicMillis()));
    }

    @Test
    void testOlderEraIsOutdatedAndChangesNothing() {
        eras.observe(new StoreEra(4));

        assertEquals(EraTracker.Observation.OUTDATED, eras.observe(new StoreEra(3)));

        assertEquals(Optional.of(new StoreEra(4)), eras.current());
    }

    @Test
    void testSecondRestoreBeginsANewPeriod() {
        eras.observe(new StoreEra(3));
        eras.observe(new StoreEra(4));
        clock.advanceMillis(EraTracker.REWRITE_MILLIS - 100);

        eras.observe(new StoreEra(5));

        assertEquals(EraTracker.REWRITE_MILLIS, eras.rewriteRemainingMillis());
    }

    @Test
    void testNegativeEraIsRejected() {
        assertThrows(InvalidArgumentException.class, () -> new StoreEra(-1));
    }
}
