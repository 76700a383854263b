package org.jasminehub.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jasminehub.core.admission.AdmissionOutcome.Queued;
import org.jasminehub.core.admission.AdmissionOutcome.Refused;
import org.jasminehub.core.admission.AdmissionOutcome.Started;
import org.jasminehub.core.document.Priority;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class AdmissionControllerTest {
    /** Two requests at a time and 10 ms per step: 0.2 tokens of work per millisecond. */
    private static final EngineSpeed SPEED = new EngineSpeed(2, 10, 100_000);

    private final ManualClock clock = new ManualClock(0);
    private final List<Event> events = new ArrayList<>();
    private final AdmissionController controller =
            new AdmissionController(clock, new AdmissionSettings(1000, 200, 30_000), SPEED, events::add);
    private long nextKey;

    /** Creates a request with 100 expected answer tokens, which runs for one second. */
    private AdmissionRequest request(String workspace, Priority priority, long deadlineMillis) {
        return new AdmissionRequest(
                nextKey++, new WorkspaceId(workspace), 1, priority, 0, 200, clock.monotonicMillis() + deadlineMillis);
    }

    private List<AdmissionOutcome> offer(String workspace, Priority priority, long deadlineMillis) {
        return controller.offer(request(workspace, priority, deadlineMillis));
    }

    private AdmissionOutcome offerOne(String workspace, Priority priority, long deadlineMillis) {
        List<AdmissionOutcome> outcomes = offer(workspace, priority, deadlineMillis);
        return outcomes.get(outcomes.size() - 1);
    }

    private void fill(String workspace, int count) {
        for (int i = 0; i < count; i++) {
            offer(workspace, Priority.NORMAL, 60_000);
        }
    }

    @Nested
    final class Deadlines {
        @Test
        void testRequestStartsImmediatelyIfCapacityIsFree() {
            assertInstanceOf(Started.class, offerOne("small", Priority.URGENT, 1001));
        }

        @Test
        void testRequestThatCannotMeetDeadlineIsRefusedOnArrivalWithRetryTime() {
            for (int i = 0; i < 6; i++) {
                offer("large", Priority.URGENT, 60_000);
            }
            Refused refused = assertInstanceOf(Refused.class, offerOne("large", Priority.NORMAL, 2000));
            assertEquals(ErrorCode.DEADLINE_UNREACHABLE, refused.code());
            // Four requests are ahead of it, each taking 500 ms of the total capacity; it could wait for 1000 ms.
            assertEquals(5 * 500 - 1000, refused.retryAfterMillis());
            assertEquals(1, events.size());
        }

        @Test
        void testQueuedRequestIsRefusedAsSoonAsLatestStartHasPassed() {
            fill("large", 2);
            assertInstanceOf(Queued.class, offerOne("small", Priority.NORMAL, 3000));
            clock.advanceMillis(2000);
            assertTrue(controller.nextActionMillis() <= 2001);
            clock.advanceMillis(1);
            Refused refused =
                    assertInstanceOf(Refused.class, controller.advance().get(0));
            assertEquals(ErrorCode.DEADLINE_UNREACHABLE, refused.code());
            assertEquals(0, controller.queuedTokens());
        }

        @Test
        void testSlowerEngineRefusesRequestsThatBecomeLate() {
            fill("large", 2);
            offer("small", Priority.NORMAL, 2500);
            clock.advanceMillis(50);
            List<AdmissionOutcome> outcomes = controller.speedChanged(new EngineSpeed(2, 60, 100_000));
            assertInstanceOf(Refused.class, outcomes.get(0));
        }

        @Test
        void testCanceledRequestFreesCapacity() {
            fill("large", 3);
            assertInstanceOf(Started.class, controller.canceled(0).get(0));
        }
    }

    @Nested
    final class Fairness {
        @Test
        void testFullQueueRefusesWorkOfLargeWorkspaceInFavorOfSmallOne() {
            fill("large", 12);
            assertEquals(1000, controller.queuedTokens());
            List<AdmissionOutcome> outcomes = offer("small", Priority.NORMAL, 60_000);
            Refused refused = assertInstanceOf(Refused.class, outcomes.get(0));
            assertEquals("large", refused.request().workspace().value());
            assertEquals(ErrorCode.OVERLOADED, refused.code());
            assertInstanceOf(Queued.class, outcomes.get(1));
        }

        @Test
        void testRetryTimesAreSpreadAtDrainRate() {
            fill("large", 12);
            List<Long> retryAfterMillis = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Refused refused = (Refused) offerOne("large", Priority.NORMAL, 60_000);
                retryAfterMillis.add(refused.retryAfterMillis());
            }
            assertEquals(List.of(500L, 1000L, 1500L, 2000L), retryAfterMillis);
        }

        @Test
        void testUrgentWorkGoesFirstButDoesNotStarveOtherWorkspaces() {
            fill("filler", 2);
            long normalKey = nextKey;
            offer("small", Priority.NORMAL, 60_000);
            for (int i = 0; i < 8; i++) {
                offer("large", Priority.URGENT, 60_000);
            }
            List<Long> order = drain();
            int position = order.indexOf(normalKey);
            // The head start of urgent work over normal work is 100 tokens: one request.
            assertTrue(position >= 1 && position <= 2, "position " + position);
        }

        private List<Long> drain() {
            List<Long> order = new ArrayList<>();
            List<Long> running = new ArrayList<>(List.of(0L, 1L));
            while (!running.isEmpty()) {
                for (AdmissionOutcome outcome : controller.finished(running.remove(0), 100)) {
                    running.add(outcome.request().key());
                    order.add(outcome.request().key());
                }
            }
            return order;
        }
    }

    @Nested
    final class Overload {
        private static final int SECONDS = 120;
        private static final int CAPACITY_PER_SECOND = 2;

        private final Map<Long, Long> endMillis = new HashMap<>();
        private final Map<String, Integer> inTime = new HashMap<>();

        private void recordOutcomes(List<AdmissionOutcome> outcomes) {
            for (AdmissionOutcome outcome : outcomes) {
                if (outcome instanceof Started started) {
                    endMillis.put(started.request().key(), clock.monotonicMillis() + 1000);
                    if (clock.monotonicMillis() + 1000 <= started.request().deadlineMillis()) {
                        inTime.merge(started.request().workspace().value(), 1, Integer::sum);
                    }
                }
            }
        }

        private void step(long millis) {
            clock.advanceMillis(millis);
            List<Long> ended = endMillis.entrySet().stream()
                    .filter(entry -> entry.getValue() <= clock.monotonicMillis())
                    .map(Map.Entry::getKey)
                    .toList();
            for (long key : ended) {
                endMillis.remove(key);
                recordOutcomes(controller.finished(key, 100));
            }
            recordOutcomes(controller.advance());
        }

        /** Offers a multiple of the capacity: half its fair share by the small workspace, the rest by the large one. */
        private void run(int multiple) {
            int offersPerSecond = CAPACITY_PER_SECOND * multiple;
            for (int i = 0; i < SECONDS * offersPerSecond; i++) {
                step(1000 / offersPerSecond);
                boolean isSmall = i % (2 * multiple) == 0;
                recordOutcomes(offer(isSmall ? "small" : "large", Priority.NORMAL, 4000));
            }
        }

        private void assertGoodput(int multiple) {
            run(multiple);
            int total = inTime.values().stream().mapToInt(Integer::intValue).sum();
            assertTrue(total >= SECONDS * CAPACITY_PER_SECOND * 0.9, "in time " + total);
            assertTrue(inTime.get("small") >= SECONDS * 0.9, "small in time " + inTime.get("small"));
        }

        @Test
        void testGoodputAndFairnessAtTwiceTheCapacity() {
            assertGoodput(2);
        }

        @Test
        void testGoodputAndFairnessAtFourTimesTheCapacity() {
            assertGoodput(4);
        }
    }
}
