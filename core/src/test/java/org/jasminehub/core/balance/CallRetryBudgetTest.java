package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class CallRetryBudgetTest {
    @Test
    void testRetriesOfAllInstancesStayWithinBudget() {
        int instances = 6;
        double ratio = 0.2;
        double reserve = 88;
        int calls = 100;
        int retries = 0;
        for (int instance = 0; instance < instances; instance++) {
            CallRetryBudget budget = new CallRetryBudget(new ManualClock(0), ratio, reserve, 10_000);
            budget.setInstances(instances);
            for (int call = 0; call < calls; call++) {
                budget.onCall("s");
                retries += budget.tryRetry("s") ? 1 : 0;
                retries += budget.tryRetry("s") ? 1 : 0;
            }
        }
        assertTrue(retries <= ratio * calls * instances + reserve, "retries: " + retries);
        assertTrue(retries > 0);
    }

    @Test
    void testBudgetIsRestoredAfterWindow() {
        ManualClock clock = new ManualClock(0);
        CallRetryBudget budget = new CallRetryBudget(clock, 0.2, 2, 10_000);

        assertTrue(budget.tryRetry("s"));
        assertFalse(budget.tryRetry("s"));
        clock.advanceMillis(10_001);
        assertTrue(budget.tryRetry("s"));
    }
}
