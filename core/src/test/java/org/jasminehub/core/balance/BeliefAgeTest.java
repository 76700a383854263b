package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.jasminehub.core.time.Clock;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

/** How old a belief is, by two clocks. */
final class BeliefAgeTest {
    @Test
    void testNothingKnownIsAsOldAsCanBe() {
        assertEquals(Long.MAX_VALUE, new BeliefAge(new ManualClock(0)).millis());
    }

    @Test
    void testAnEarlierConfirmationDoesNotMakeABeliefOlder() {
        ManualClock clock = new ManualClock(1_000);
        BeliefAge age = new BeliefAge(clock);
        BeliefAge.Moment early = age.now();
        clock.advanceMillis(500);
        age.confirm(age.now());
        age.confirm(early);
        clock.advanceMillis(100);

        assertEquals(100, age.millis());
    }

    @Test
    void testASuspensionThatOnlyTheWallClockSeesCounts() {
        ShiftedClock clock = new ShiftedClock();
        BeliefAge age = new BeliefAge(clock);
        age.confirm(age.now());
        clock.wallShiftMillis = 6_000;

        assertEquals(6_000, age.millis());
    }

    /** A clock whose wall time can be moved alone. */
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
