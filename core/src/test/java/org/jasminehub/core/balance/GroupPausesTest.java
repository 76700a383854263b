package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

/** A group that forms anew, and one that works. */
final class GroupPausesTest {
    private final ManualClock clock = new ManualClock(10_000);
    private final GroupPauses pauses = new GroupPauses(clock);

    @Test
    void testAGroupThatRefusesWithoutProgressIsPausedForAMoment() {
        assertTrue(pauses.onRefused("g"));
        assertTrue(pauses.isPaused("g"));
        assertFalse(pauses.isPaused("other"));

        clock.advanceMillis(GroupPauses.PAUSE_MILLIS);

        assertFalse(pauses.isPaused("g"));
    }

    @Test
    void testARefusalWhileStreamsGoOnPausesNothing() {
        pauses.onProgress("g");
        clock.advanceMillis(100);

        assertFalse(pauses.onRefused("g"));
        assertFalse(pauses.isPaused("g"));
    }

    @Test
    void testProgressEndsAPause() {
        pauses.onRefused("g");
        pauses.onProgress("g");

        assertFalse(pauses.isPaused("g"));
    }

    @Test
    void testAGroupWhoseStreamsStoodStillIsPausedAgain() {
        pauses.onProgress("g");
        clock.advanceMillis(500);

        assertTrue(pauses.onRefused("g"));
    }
}
