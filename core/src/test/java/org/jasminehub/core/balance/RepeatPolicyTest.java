package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.jasminehub.core.serving.CallKind;
import org.jasminehub.core.serving.Route;
import org.jasminehub.core.serving.WeightedService;
import org.jasminehub.core.time.Clock;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** When a call may be sent once more. */
final class RepeatPolicyTest {
    private static Route route(CallKind kind, boolean isResumable) {
        return new Route(
                "r", "h", "/", kind, 1_000, 100, 0, 1, List.of(new WeightedService("s", 1)), 2, false, isResumable);
    }

    /** By kind. */
    @Nested
    final class Kinds {
        @Test
        void testACallWithEffectsIsRepeatedOnlyAfterProofThatItDidNotRun() {
            Route unsafe = route(CallKind.UNSAFE, false);

            assertTrue(RepeatPolicy.mayRepeat(unsafe, AttemptEnd.NOT_RUN, 0, 1, 500));
            assertFalse(RepeatPolicy.mayRepeat(unsafe, AttemptEnd.MAY_HAVE_RUN, 1, 1, 500));
            assertFalse(RepeatPolicy.mayRepeat(unsafe, AttemptEnd.FAILED, 1, 1, 500));
        }

        @Test
        void testAStreamIsRepeatedOnlyWhereItMayBeResumed() {
            assertTrue(RepeatPolicy.mayRepeat(route(CallKind.STREAMING, true), AttemptEnd.MAY_HAVE_RUN, 1, 1, 500));
            assertFalse(RepeatPolicy.mayRepeat(route(CallKind.STREAMING, false), AttemptEnd.MAY_HAVE_RUN, 1, 1, 500));
        }

        @Test
        void testAttemptsAndTimeBoundRepeats() {
            Route safe = route(CallKind.SAFE, false);

            assertFalse(RepeatPolicy.mayRepeat(safe, AttemptEnd.FAILED, 2, 2, 500));
            assertFalse(RepeatPolicy.mayRepeat(safe, AttemptEnd.FAILED, 1, 1, 10));
        }
    }

    /** The share of one instance. */
    @Nested
    final class Budget {
        @Test
        void testRepeatsOfAllInstancesStayWithinTheAllowance() {
            int instances = 6;
            double ratio = 0.2;
            double reserve = 88;
            int calls = 100;
            int repeats = 0;
            for (int instance = 0; instance < instances; instance++) {
                RepeatBudget budget = new RepeatBudget(new ManualClock(0), ratio, reserve, 10_000);
                budget.setInstances(instances);
                for (int call = 0; call < calls; call++) {
                    budget.onCall("s");
                    repeats += budget.tryRepeat("s") ? 1 : 0;
                    repeats += budget.tryRepeat("s") ? 1 : 0;
                }
            }
            assertTrue(repeats <= ratio * calls * instances + reserve, "repeats: " + repeats);
            assertTrue(repeats > 0);
        }

        @Test
        void testTheAllowanceReturnsWithTheWindow() {
            ManualClock clock = new ManualClock(0);
            RepeatBudget budget = new RepeatBudget(clock, 0.2, 2, 10_000);

            assertTrue(budget.tryRepeat("s"));
            assertFalse(budget.tryRepeat("s"));
            clock.advanceMillis(10_001);
            assertTrue(budget.tryRepeat("s"));
        }
    }

    /** The age of a belief. */
    @Nested
    final class Ages {
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
