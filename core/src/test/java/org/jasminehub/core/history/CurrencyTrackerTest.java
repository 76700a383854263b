package org.jasminehub.core.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

final class CurrencyTrackerTest {
    private static final long MAX_AGE_MILLIS = 8_000;

    private final CurrencyTracker tracker = new CurrencyTracker(MAX_AGE_MILLIS);

    @Test
    void testNewInstanceIsNotServing() {
        Currency currency = tracker.currency(true, 0);
        assertEquals(Currency.UNKNOWN, currency);
        assertFalse(currency.isServing());
    }

    @Test
    void testIsolatedInstanceIsNotCurrentAfterMaxAge() {
        tracker.onCaughtUp(100);
        assertEquals(Currency.CURRENT, tracker.currency(true, 100 + MAX_AGE_MILLIS));
        assertEquals(Currency.UNKNOWN, tracker.currency(true, 101 + MAX_AGE_MILLIS));
    }

    @Test
    void testInstanceKeepsServingWhilePeersAgreeDuringLogOutage() {
        tracker.onCaughtUp(0);
        tracker.onPeerAgreed(20_000);
        assertEquals(Currency.AGREED_WITH_PEERS, tracker.currency(true, 20_000));
    }

    @Test
    void testMissedRecordsOverrideRecentEvidence() {
        tracker.onCaughtUp(0);
        assertEquals(Currency.MISSED_RECORDS, tracker.currency(false, 0));
    }
}
