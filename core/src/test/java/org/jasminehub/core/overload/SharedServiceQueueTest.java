package org.jasminehub.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SharedServiceQueueTest {
    private static final String SERVICE = "engines";
    private static final long LEFT_MILLIS = 240;

    private final ManualClock clock = new ManualClock(100_000);
    private final FleetQueues fleet = new FleetQueues(clock);
    private final SharedServiceQueue queue = new SharedServiceQueue(clock, fleet, SERVICE, new SplittableRandom(1));
    private long sequence;

    private QueuedCall call(int priority, CallTurn turn, long firstAttemptMillis) {
        return new QueuedCall(priority, turn, "w", firstAttemptMillis, turn == CallTurn.IN_TIME, sequence++);
    }

    private void peer(List<Integer> waiting, List<Integer> started, List<Integer> refused, int ended) {
        QueueStatus status = QueueStatus.parse(waiting, started, refused, ended).orElseThrow();
        fleet.onPeerStatus("peer", Map.of(SERVICE.hashCode(), status));
    }

    @Nested
    final class Order {
        @Test
        void testCallsAreOrderedByPriorityThenTurn() {
            QueuedCall low = call(2, CallTurn.IN_TIME, 1_000);
            QueuedCall late = call(1, CallTurn.LATE, 1_000);
            QueuedCall inTime = call(1, CallTurn.IN_TIME, 3_000);
            List.of(low, late, inTime).forEach(queue::add);

            assertEquals(List.of(inTime, late, low), queue.inOrder());
        }

        /** Guards against callers that came back as told and are last again behind newer ones that are late too. */
        @Test
        void testLateCallersAreOrderedByTheirFirstAttempt() {
            QueuedCall newer = call(1, CallTurn.LATE, 2_000);
            QueuedCall refusedFirst = call(1, CallTurn.LATE, 1_000);
            queue.add(newer);
            queue.add(refusedFirst);

            assertEquals(List.of(refusedFirst, newer), queue.inOrder());
            assertEquals(1, queue.ahead(newer));
        }

        /** Guards against a queue that keeps calls whose callers have left. */
        @Test
        void testRemovedCallIsNotCounted() {
            QueuedCall call = call(1, CallTurn.IN_TIME, 1_000);
            queue.add(call);
            queue.remove(call);
            queue.remove(call);

            assertEquals(QueueStatus.IDLE, queue.status());
        }
    }

    @Nested
    final class Slots {
        @Test
        void testFreeSlotIsLeftToAHigherPriorityElsewhere() {
            peer(List.of(4), List.of(), List.of(), 0);

            assertFalse(queue.mayTake(call(2, CallTurn.IN_TIME, 1_000), 0, () -> 2));
            assertTrue(queue.mayTake(call(2, CallTurn.IN_TIME, 1_000), 0, () -> 5));
        }

        /** Guards against slots left to an instance that is lost. */
        @Test
        void testSlotIsTakenWhenTheStatusesAreLost() {
            peer(List.of(4), List.of(), List.of(), 0);
            clock.advanceMillis(FleetQueues.MAX_AGE_MILLIS + 1);

            assertTrue(queue.mayTake(call(2, CallTurn.IN_TIME, 1_000), 0, () -> 1));
        }

        /** Guards against callers that get a slot by repeating while others wait for it. */
        @Test
        void testCallerThatRepeatsAtOnceGetsNothingWhileOthersWait() {
            QueuedCall call = call(1, CallTurn.REPEATED_AT_ONCE, 1_000);
            assertTrue(queue.mayTake(call, 0, () -> 1));

            peer(List.of(0, 3), List.of(), List.of(), 0);

            assertFalse(queue.mayTake(call, 0, () -> 20));
            assertFalse(queue.mayWait(call, LEFT_MILLIS));
        }

        /** Guards against a call that is never sent again after an endpoint refused it. */
        @Test
        void testCallThatWaitsBeyondTheShareOfItsWorkspaceMayBeSent() {
            QueuedCall call = call(1, CallTurn.BEYOND_SHARE, 1_000);
            queue.add(call);

            assertTrue(queue.mayTake(call, 0, () -> 1));
        }
    }

    @Nested
    final class Waits {
        /** Guards against calls that wait for slots which the whole fleet wants. */
        @Test
        void testCallIsRefusedIfTheQueueOfTheFleetIsTooLong() {
            peer(List.of(40), List.of(100), List.of(), 100);
            assertTrue(queue.mayWait(call(0, CallTurn.IN_TIME, 1_000), LEFT_MILLIS));

            peer(List.of(60), List.of(100), List.of(), 100);

            assertFalse(queue.mayWait(call(0, CallTurn.IN_TIME, 1_000), LEFT_MILLIS));
        }

        /** Guards against low priorities that wait for slots which higher ones will take. */
        @Test
        void testSlotsThatHigherPrioritiesTakeAreLeftOut() {
            peer(List.of(0, 10), List.of(95, 5), List.of(), 100);

            assertFalse(queue.mayWait(call(1, CallTurn.IN_TIME, 1_000), LEFT_MILLIS));
        }

        @Test
        void testCallMayWaitIfNoCallEnded() {
            peer(List.of(40), List.of(), List.of(), 0);

            assertTrue(queue.mayWait(call(0, CallTurn.IN_TIME, 1_000), LEFT_MILLIS));
        }

        /** Guards against callers that hold a place until the end of their wait without a prospect of a slot. */
        @Test
        void testWaitingCallWithoutProspectIsFound() {
            QueuedCall call = call(0, CallTurn.IN_TIME, 1_000);
            queue.add(call);
            assertEquals(List.of(), queue.withoutProspect(each -> LEFT_MILLIS));

            clock.advanceMillis(50);
            peer(List.of(90), List.of(100), List.of(), 100);

            assertEquals(List.of(call), queue.withoutProspect(each -> LEFT_MILLIS));
        }

        @Test
        void testRetryTimeFollowsTheQueueOfTheFleetWithinItsBounds() {
            peer(List.of(100), List.of(100), List.of(), 100);
            assertEquals(1_010, queue.retryAfterMillis(0, 0.5));

            peer(List.of(1_000), List.of(100), List.of(), 100);
            assertEquals(3_000, queue.retryAfterMillis(0, 0.5));

            peer(List.of(1), List.of(100), List.of(), 100);
            assertEquals(420, queue.retryAfterMillis(0, 0));

            clock.advanceMillis(FleetQueues.MAX_AGE_MILLIS + 1);
            assertEquals(2_000, queue.retryAfterMillis(0, 0.5));
        }
    }
}
