package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.jasminehub.core.time.Clock;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class StateAgeTest {
    @Test
    void testStateThatWasNeverConfirmedHasMaximumAge() {
        assertEquals(Long.MAX_VALUE, new StateAge(new ManualClock(0)).millis());
    }

    @Test
    void testOutdatedConfirmationDoesNotIncreaseAge() {
        ManualClock clock = new ManualClock(1_000);
        StateAge age = new StateAge(clock);
        StateAge.ClockReading early = age.now();
        clock.advanceMillis(500);
        age.confirm(age.now());
        age.confirm(early);
        clock.advanceMillis(100);

        assertEquals(100, age.millis());
    }

    @Test
    void testSuspensionSeenOnlyByWallClockCounts() {
        ShiftedClock clock = new ShiftedClock();
        StateAge age = new StateAge(clock);
        age.confirm(age.now());
        clock.wallShiftMillis = 6_000;

        assertEquals(6_000, age.millis());
    }

    /** A clock whose wall time can be shifted independently of its monotonic time. */
    private static final class ShiftedClock implements Clock {
        private long wallShiftMillis;

        @Override
        public long monotonicMillis() {
            return 10_000;
        }

        @Override
        public long wallMillis() {
            return 50_000 + wallShiftMillis;
        }
    }
}
