package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.jasminehub.core.balance.SilentStreamPolicy.EventDecision;
import org.jasminehub.core.serving.CallKind;
import org.jasminehub.core.serving.Route;
import org.jasminehub.core.serving.WeightedService;
import org.jasminehub.core.stream.EventId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SilentStreamPolicyTest {
    private static Route route(long targetMillis, long maxPauseMillis) {
        return new Route(
                "r",
                "h",
                "/",
                CallKind.STREAMING,
                8_000,
                targetMillis,
                maxPauseMillis,
                1,
                List.of(new WeightedService("s", 1)),
                2,
                false,
                true);
    }

    @Nested
    final class Timeouts {
        @Test
        void testASecondAttemptStartsBeforeCallersGiveUp() {
            for (long targetMillis : new long[] {403, 503, 803, 2_000}) {
                long patienceMillis =
                        LongStream.of(2_000, 4 * targetMillis, 8 * 120).max().orElseThrow();

                assertTrue(SilentStreamPolicy.EVENT_TIMEOUT_MILLIS < patienceMillis);
                long firstMillis = SilentStreamPolicy.firstEventTimeoutMillis(route(targetMillis, 120));
                assertTrue(firstMillis > targetMillis && firstMillis < patienceMillis, "target " + targetMillis);
            }
        }
    }

    @Nested
    final class Events {
        private EventId id(long number) {
            return new EventId(Long.toString(number));
        }

        @Test
        void testAGapOrARepeatedEventFailsTheAttempt() {
            for (boolean isSecond : new boolean[] {false, true}) {
                assertEquals(EventDecision.FAIL_ATTEMPT, SilentStreamPolicy.decide(id(5), id(3), true, isSecond));
                assertEquals(EventDecision.FAIL_ATTEMPT, SilentStreamPolicy.decide(id(3), id(3), true, isSecond));
                assertEquals(EventDecision.DELIVER, SilentStreamPolicy.decide(id(4), id(3), true, isSecond));
                assertEquals(EventDecision.DELIVER, SilentStreamPolicy.decide(id(1), null, false, isSecond));
            }
        }

        @Test
        void testAnEventWithoutAnIdDoesNotContinueTheStreamOfAnotherEndpoint() {
            assertEquals(EventDecision.DELIVER, SilentStreamPolicy.decide(null, id(3), true, false));
            assertEquals(EventDecision.DISCARD, SilentStreamPolicy.decide(null, id(3), true, true));
            assertEquals(EventDecision.DELIVER, SilentStreamPolicy.decide(null, null, false, true));
        }

        @Test
        void testEventsWithoutIdsAreNotRepeatedByAnotherAttempt() {
            assertFalse(SilentStreamPolicy.canContinue(true, false));
            assertTrue(SilentStreamPolicy.canContinue(false, false));
            assertTrue(SilentStreamPolicy.canContinue(true, true));
        }

        @Test
        void testEventsOfTwoAttemptsInAnyOrderStayGaplessAndUnique() {
            for (long seed = 1; seed <= 300; seed++) {
                SplittableRandom random = new SplittableRandom(seed);
                List<Long> delivered = new ArrayList<>();
                long[] next = {1, 1};
                boolean[] isFailed = new boolean[2];
                while (!isFailed[0] || !isFailed[1]) {
                    int source = random.nextInt(2);
                    if (isFailed[source]) {
                        continue;
                    }
                    // Each attempt repeats or leaves out an event now and then, as a faulty endpoint does.
                    long id = next[source] + (random.nextInt(10) == 0 ? random.nextInt(3) - 1 : 0);
                    next[source] = id + 1;
                    Long last = delivered.isEmpty() ? null : delivered.get(delivered.size() - 1);
                    EventDecision decision = SilentStreamPolicy.decide(
                            id(id), last == null ? null : id(last), last != null, source == 1);
                    isFailed[source] = decision == EventDecision.FAIL_ATTEMPT || delivered.size() >= 50;
                    if (decision == EventDecision.DELIVER) {
                        delivered.add(id);
                    }
                }
                for (int index = 1; index < delivered.size(); index++) {
                    assertEquals(delivered.get(index - 1) + 1, delivered.get(index), "seed " + seed);
                }
            }
        }
    }
}
