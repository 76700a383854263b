package org.jasminehub.core.intake;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.error.InvalidArgumentException;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class MemoryBudgetTest {
    private static final long TOTAL_BYTES = 400 << 10;

    /** What holders that are not small can use. */
    private static final long SHARED_BYTES = 300 << 10;

    private static final long SMALL_BYTES = 4 << 10;

    private final ManualClock clock = new ManualClock(10_000);
    private final MemoryBudget budget = new MemoryBudget(TOTAL_BYTES, clock);
    private final List<String> evicted = new ArrayList<>();

    private MemoryAccount open(String name) {
        return budget.open(() -> evicted.add(name));
    }

    private MemoryAccount openWith(String name, long bytes) {
        MemoryAccount account = open(name);
        assertTrue(account.tryReserve(bytes));
        return account;
    }

    @Nested
    final class Accounting {
        @Test
        void testReservedMemoryIsHeldUntilItIsReleased() {
            MemoryAccount account = openWith("a", 1_000);
            account.release(400);

            assertEquals(600, account.heldBytes());
            assertEquals(600, budget.heldBytes());
        }

        @Test
        void testAClosedAccountHoldsNothingAndReservesNothing() {
            MemoryAccount account = openWith("a", 1_000);
            account.close();
            account.release(1_000);

            assertEquals(0, budget.heldBytes());
            assertFalse(account.tryReserve(1));
        }

        /** Guards against a budget that grows because a holder releases its memory twice. */
        @Test
        void testMoreThanIsHeldCannotBeReleased() {
            MemoryAccount account = openWith("a", 1_000);

            assertThrows(InvalidArgumentException.class, () -> account.release(1_001));
        }

        @Test
        void testARefusedReservationHoldsNothingAndIsCounted() {
            MemoryAccount account = open("a");

            assertFalse(account.tryReserve(SHARED_BYTES + 1));
            assertEquals(0, budget.heldBytes());
            assertEquals(1, budget.refusals());
        }
    }

    /** Ordinary requests find memory while large ones use up the rest. */
    @Nested
    final class SmallHolders {
        @Test
        void testSmallHoldersFindMemoryBesideLargeOnes() {
            openWith("large", SHARED_BYTES);

            assertFalse(open("other").tryReserve(MemoryBudget.SMALL_HOLDER_BYTES + 1));
            assertTrue(open("small").tryReserve(SMALL_BYTES));
        }

        @Test
        void testAHolderThatGrowsIsNoLongerSmall() {
            openWith("large", SHARED_BYTES);
            MemoryAccount growing = openWith("growing", MemoryBudget.SMALL_HOLDER_BYTES);

            assertFalse(growing.tryReserve(1));
        }

        @Test
        void testSmallHoldersAreBoundedToo() {
            for (long held = 0; held < TOTAL_BYTES; held += SMALL_BYTES) {
                openWith("small", SMALL_BYTES);
            }

            assertFalse(open("next").tryReserve(SMALL_BYTES));
        }
    }

    @Nested
    final class Eviction {
        private final MemoryAccount large = openWith("large", 200 << 10);
        private final MemoryAccount medium = openWith("medium", 100 << 10);

        @Test
        void testHoldersThatProgressAreNotEvicted() {
            clock.advanceMillis(MemoryBudget.STALL_MILLIS - 1);

            assertFalse(open("next").tryReserve(SHARED_BYTES));
            assertEquals(List.of(), evicted);
        }

        @Test
        void testTheLargestStalledHolderMakesRoom() {
            clock.advanceMillis(MemoryBudget.STALL_MILLIS);

            assertTrue(open("next").tryReserve(150 << 10));
            assertEquals(List.of("large"), evicted);
            assertEquals(0, large.heldBytes());
            assertEquals(1, budget.evictions());
        }

        @Test
        void testAHolderWhoseClientHasSentEnoughIsNotEvicted() {
            clock.advanceMillis(MemoryBudget.STALL_MILLIS);
            large.onTransferred(MemoryAccount.MIN_PROGRESS_BYTES);

            assertTrue(open("next").tryReserve(100 << 10));
            assertEquals(List.of("medium"), evicted);
        }

        /** Guards against clients that keep their memory by sending a byte from time to time. */
        @Test
        void testSingleBytesAreNoProgress() {
            clock.advanceMillis(MemoryBudget.STALL_MILLIS);
            large.onTransferred(1);

            assertTrue(open("next").tryReserve(200 << 10));
            assertEquals(List.of("large"), evicted);
        }

        /** Guards against complete requests that are lost because their endpoint takes long. */
        @Test
        void testAHolderThatDoesNotWaitForItsClientIsNotEvicted() {
            large.setEvictable(false);
            clock.advanceMillis(MemoryBudget.STALL_MILLIS);

            assertFalse(open("next").tryReserve(200 << 10));
            assertEquals(List.of(), evicted);
        }

        @Test
        void testAHolderThatWaitsForItsClientAgainHasTimeToProgress() {
            large.setEvictable(false);
            clock.advanceMillis(MemoryBudget.STALL_MILLIS);
            large.setEvictable(true);
            medium.setEvictable(false);

            assertFalse(open("next").tryReserve(100 << 10));
            assertEquals(List.of(), evicted);
        }

        @Test
        void testNobodyIsEvictedIfThatDoesNotHelp() {
            large.setEvictable(false);
            clock.advanceMillis(MemoryBudget.STALL_MILLIS);

            assertFalse(open("next").tryReserve(101 << 10));
            assertEquals(List.of(), evicted);
        }

        /** Guards against holders that count as stalled because their connection was idle before the request. */
        @Test
        void testTimeWithoutMemoryIsNoStall() {
            MemoryAccount idle = open("idle");
            clock.advanceMillis(MemoryBudget.STALL_MILLIS);
            large.setEvictable(false);
            medium.setEvictable(false);
            assertTrue(idle.tryReserve(SMALL_BYTES));

            assertFalse(open("next").tryReserve(SHARED_BYTES));
            assertEquals(List.of(), evicted);
        }
    }
}
