package org.jasminehub.core.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

final class CurrencyTrackerTest {
    private static final long MAX_AGE_MILLIS = 8_000;

    private final CurrencyTracker tracker = new CurrencyTracker(MAX_AGE_MILLIS);

    @Test
    void testInstanceThatHasJustStartedIsNotServing() {
        Currency currency = tracker.currency(true, 0);
        assertEquals(Currency.UNKNOWN, currency);
        assertFalse(currency.isServing());
    }

    @Test
    void testCutOffInstanceStopsBeingCurrentAfterTheLimit() {
        tracker.caughtUp(100);
        assertEquals(Currency.CURRENT, tracker.currency(true, 100 + MAX_AGE_MILLIS));
        assertEquals(Currency.UNKNOWN, tracker.currency(true, 101 + MAX_AGE_MILLIS));
    }

    @Test
    void testPeersThatAgreeKeepServingWhileTheLogIsDown() {
        tracker.caughtUp(0);
        tracker.agreed(20_000);
        assertEquals(Currency.AGREED_WITH_PEERS, tracker.currency(true, 20_000));
    }

    @Test
    void testMissedRecordsOutweighEverythingElse() {
        tracker.caughtUp(0);
        assertEquals(Currency.MISSED_RECORDS, tracker.currency(false, 0));
    }
}
