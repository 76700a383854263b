package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

/** The share of one instance in the repeats that all may send. */
final class RepeatBudgetTest {
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
