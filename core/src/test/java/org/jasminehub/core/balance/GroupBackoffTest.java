package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class GroupBackoffTest {
    private final ManualClock clock = new ManualClock(10_000);
    private final GroupBackoff backoff = new GroupBackoff(clock);

    @Test
    void testRefusalWithoutProgressStartsBackoff() {
        assertTrue(backoff.onRefused("g"));
        assertTrue(backoff.isBackingOff("g"));
        assertFalse(backoff.isBackingOff("other"));

        clock.advanceMillis(GroupBackoff.BACKOFF_MILLIS);

        assertFalse(backoff.isBackingOff("g"));
    }

    @Test
    void testRefusalDuringProgressStartsNoBackoff() {
        backoff.onProgress("g");
        clock.advanceMillis(100);

        assertFalse(backoff.onRefused("g"));
        assertFalse(backoff.isBackingOff("g"));
    }

    @Test
    void testProgressEndsBackoff() {
        backoff.onRefused("g");
        backoff.onProgress("g");

        assertFalse(backoff.isBackingOff("g"));
    }

    @Test
    void testRefusalAfterProgressStoppedStartsBackoff() {
        backoff.onProgress("g");
        clock.advanceMillis(500);

        assertTrue(backoff.onRefused("g"));
    }
}
