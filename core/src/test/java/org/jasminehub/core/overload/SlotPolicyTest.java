package org.jasminehub.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SlotPolicyTest {
    private static final long INTERVAL_MILLIS = 200;

    private final ManualClock clock = new ManualClock(10_000);
    private final SlotPolicy policy = new SlotPolicy(clock, new SplittableRandom(1));

    @Nested
    final class Slots {
        @Test
        void testCallTakesASlotIfNobodyElseWaits() {
            assertTrue(policy.mayTake(0, 0, 1, () -> 1, INTERVAL_MILLIS));
        }

        @Test
        void testCallTakesASlotIfThereAreEnoughForAll() {
            assertTrue(policy.mayTake(3, 2, 1, () -> 6, INTERVAL_MILLIS));
        }

        @Test
        void testFreeSlotIsLeftToCallsAhead() {
            assertFalse(policy.mayTake(1, 0, 1, () -> 1, INTERVAL_MILLIS));
            assertEquals(1, policy.left());
        }

        /** Guards against slots that stay empty because the calls ahead cannot use them. */
        @Test
        void testSlotThatStaysFreeIsTakenWithinTwoIntervals() {
            long startedMillis = clock.monotonicMillis();
            while (!policy.mayTake(5, 0, 1, () -> 1, INTERVAL_MILLIS)) {
                clock.advanceMillis(10);
                assertTrue(clock.monotonicMillis() - startedMillis <= 2 * INTERVAL_MILLIS);
            }
            assertTrue(clock.monotonicMillis() - startedMillis >= INTERVAL_MILLIS);
        }

        /** Guards against low priorities that take slots which others do use, only at another moment. */
        @Test
        void testSlotsThatAreTakenByOthersAreNotReleased() {
            for (int step = 0; step < 100; step++) {
                int free = step % 10 == 0 ? 0 : 1;
                assertFalse(policy.mayTake(5, 0, 1, () -> free, INTERVAL_MILLIS));
                clock.advanceMillis(10);
            }
        }

        /** Guards against an endpoint that is sent a call by each instance at which one waits. */
        @Test
        void testAFreeSlotElsewhereIsTakenByAboutOneInstance() {
            int taken = 0;
            for (int instance = 0; instance < 1_000; instance++) {
                SlotPolicy each = new SlotPolicy(clock, new SplittableRandom(instance));
                taken += each.mayTake(0, 49, 1, () -> 1, INTERVAL_MILLIS) ? 1 : 0;
            }
            assertTrue(taken >= 10 && taken <= 35, "taken " + taken);
        }

        @Test
        void testAnInstanceTakesTheSlotThatItFreedItself() {
            policy.onFreed();

            assertTrue(policy.mayTake(0, 49, 1, () -> 1, INTERVAL_MILLIS));
        }
    }

    @Nested
    final class Starvation {
        private QueueStatus fleet(int started) {
            return QueueStatus.parse(List.of(20, 0, 30), List.of(100, 0, started), List.of(0, 0, 50 - started), 100)
                    .orElseThrow();
        }

        private boolean isDue(int started) {
            clock.advanceMillis(INTERVAL_MILLIS);
            return policy.duePriorities(fleet(started), INTERVAL_MILLIS).contains(2);
        }

        /** Guards against a priority that gets less than a quarter of its equal share. */
        @Test
        void testPriorityBelowAQuarterOfItsShareGoesFirst() {
            // 80 of 200 calls ask for slots of priority 2; a quarter of that share is a tenth of all starts.
            assertTrue(isDue(2));
            assertTrue(isDue(9));
        }

        @Test
        void testPriorityWithHalfOfItsShareKeepsItsPlace() {
            assertFalse(isDue(30));
        }

        @Test
        void testPriorityIsNotDueWhileNoHigherOneWaits() {
            clock.advanceMillis(INTERVAL_MILLIS);
            QueueStatus fleet = QueueStatus.parse(List.of(0, 0, 30), List.of(100), List.of(), 100)
                    .orElseThrow();

            assertEquals(Set.of(), policy.duePriorities(fleet, INTERVAL_MILLIS));
        }
    }
}
