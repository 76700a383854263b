package org.jasminehub.core.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EntryDrainTest {
    private static final int LIST_LAG_MILLIS = 50;
    private static final int TTL_MILLIS = 300;
    private static final int MAX_DRAIN_MILLIS = 2_000;

    private final ManualClock clock = new ManualClock(0);
    private final List<Event> events = new ArrayList<>();

    /** Drains seven instances in turn, with callers that cache addresses and open streams of random length. */
    private int countFailures(Random random, EntryDrainPolicy policy) {
        int instanceCount = 7;
        long[][] streamEnds = new long[instanceCount][20];
        int failures = 0;
        for (int leaving = 0; leaving < instanceCount; leaving++) {
            int index = leaving;
            long startedMillis = clock.monotonicMillis();
            EntryDrain drain = new EntryDrain(
                    "entry-" + leaving, policy, () -> countOpen(streamEnds[index]), startedMillis, clock, events::add);
            while (drain.advance() != DrainPhase.STOPPED) {
                clock.advanceMillis(1 + random.nextInt(20));
                long listFetchedMillis = clock.monotonicMillis() - random.nextInt(TTL_MILLIS + 1);
                boolean isStillListed = listFetchedMillis <= startedMillis + random.nextInt(LIST_LAG_MILLIS + 1);
                if (isStillListed) {
                    drain.advance();
                    failures += drain.acceptsRequests() ? 0 : 1;
                    streamEnds[index][random.nextInt(20)] = clock.monotonicMillis() + random.nextInt(900);
                }
            }
            failures += countOpen(streamEnds[index]);
        }
        return failures;
    }

    private int countOpen(long[] streamEnds) {
        int count = 0;
        for (long endMillis : streamEnds) {
            count += endMillis > clock.monotonicMillis() ? 1 : 0;
        }
        return count;
    }

    @Test
    void testNoRequestIsRefusedOrInterruptedDuringRollingDrain() {
        EntryDrainPolicy policy = new EntryDrainPolicy(LIST_LAG_MILLIS, TTL_MILLIS, MAX_DRAIN_MILLIS);
        for (int seed = 0; seed < 200; seed++) {
            assertEquals(0, countFailures(new Random(seed), policy));
        }
    }

    @Test
    void testSimulationDetectsDrainThatIgnoresTimeToLive() {
        EntryDrainPolicy withoutTtl = new EntryDrainPolicy(0, 0, MAX_DRAIN_MILLIS);
        assertTrue(countFailures(new Random(0), withoutTtl) > 0);
    }

    @Test
    void testSimulationDetectsTooShortTimeLimit() {
        EntryDrainPolicy shortLimit = new EntryDrainPolicy(LIST_LAG_MILLIS, TTL_MILLIS, TTL_MILLIS + 100);
        assertTrue(countFailures(new Random(0), shortLimit) > 0);
    }

    /** Requests of callers that use the address longer than they should. */
    @Nested
    final class LateRequests {
        private static final long ANNOUNCED_MILLIS = LIST_LAG_MILLIS + TTL_MILLIS;

        private final EntryDrainPolicy policy = new EntryDrainPolicy(LIST_LAG_MILLIS, TTL_MILLIS, MAX_DRAIN_MILLIS);

        @Test
        void testAnyRequestIsAcceptedWhileCallersMayHoldTheAddress() {
            assertTrue(policy.accepts(0, MAX_DRAIN_MILLIS + 1));
            assertTrue(policy.accepts(ANNOUNCED_MILLIS, MAX_DRAIN_MILLIS + 1));
        }

        @Test
        void testALaterRequestIsAcceptedOnlyIfItEndsBeforeTheInstanceStops() {
            long elapsedMillis = ANNOUNCED_MILLIS + 1;
            assertTrue(policy.accepts(elapsedMillis, MAX_DRAIN_MILLIS - elapsedMillis));
            assertFalse(policy.accepts(elapsedMillis, MAX_DRAIN_MILLIS - elapsedMillis + 1));
        }
    }

    @Test
    void testDrainStopsAtTimeLimitAndReportsOpenRequests() {
        EntryDrainPolicy policy = new EntryDrainPolicy(LIST_LAG_MILLIS, TTL_MILLIS, MAX_DRAIN_MILLIS);
        EntryDrain drain = new EntryDrain("entry-1", policy, () -> 3, 0, clock, events::add);
        clock.advanceMillis(MAX_DRAIN_MILLIS);
        assertEquals(DrainPhase.STOPPED, drain.advance());
        assertEquals(new DrainReport("entry-1", MAX_DRAIN_MILLIS, 3, true), events.get(events.size() - 1));
        assertEquals(
                DrainEventKind.DRAIN_CUT_SHORT, events.get(events.size() - 1).kind());
    }

    @Test
    void testADrainThatIsHandledLateStopsAtTheTimeLimitOfTheRequest() {
        EntryDrainPolicy policy = new EntryDrainPolicy(LIST_LAG_MILLIS, TTL_MILLIS, MAX_DRAIN_MILLIS);
        clock.advanceMillis(900);
        EntryDrain drain = new EntryDrain("entry-1", policy, () -> 3, 0, clock, events::add);
        clock.advanceMillis(MAX_DRAIN_MILLIS - 901);
        assertEquals(DrainPhase.FINISHING, drain.advance());
        clock.advanceMillis(1);
        assertEquals(DrainPhase.STOPPED, drain.advance());
    }

    @Test
    void testAgentAcceptsItsOwnKeysUntilTheyHaveMoved() {
        AgentDrainPolicy policy = new AgentDrainPolicy(3_000, 60_000);
        assertEquals(DrainPhase.ANNOUNCED, policy.phase(3_000, 0, true));
        assertEquals(DrainPhase.FINISHING, policy.phase(3_001, 0, false));
        assertEquals(DrainPhase.STOPPED, policy.phase(3_001, 0, true));
        assertEquals(DrainPhase.STOPPED, policy.phase(60_000, 9, false));
        assertTrue(policy.acceptsRequest(DrainPhase.FINISHING, true)
                && !policy.acceptsRequest(DrainPhase.FINISHING, false));
    }
}
