package org.jasminehub.core.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.era.StoreEra;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the order in which requests, their removals, peers' statements and restores of the store take effect. */
final class EvacuationsTest {
    private static final FailureDomain A = new FailureDomain("a");
    private static final FailureDomain B = new FailureDomain("b");

    private final ManualClock clock = new ManualClock(10_000);
    private final Evacuations evacuations = new Evacuations(clock);

    private static LogPosition at(long era, long offset) {
        return new LogPosition(new StoreEra(era), offset);
    }

    private static EvacuationState begun(FailureDomain domain, long era, long offset) {
        return new EvacuationState(domain, true, at(era, offset));
    }

    private static EvacuationState ended(FailureDomain domain, long era, long offset) {
        return new EvacuationState(domain, false, at(era, offset));
    }

    private List<EvacuationState> readAll(long era, long endOffset, EvacuationState... requests) {
        Map<FailureDomain, LogPosition> positions = new HashMap<>();
        for (EvacuationState request : requests) {
            positions.put(request.domain(), request.position());
        }
        return evacuations.onSnapshot(
                new StoreEra(era), positions, endOffset, OptionalLong.of(clock.monotonicMillis()));
    }

    private List<EvacuationState> read(long era, long nextOffset, EvacuationState... records) {
        return evacuations.onRecords(
                new StoreEra(era), List.of(records), nextOffset, OptionalLong.of(clock.monotonicMillis()));
    }

    /** Records of one era. */
    @Nested
    final class Records {
        @Test
        void testARequestHoldsUntilItsRemoval() {
            assertEquals(List.of(begun(A, 1, 3)), readAll(1, 4, begun(A, 1, 3)));
            assertTrue(evacuations.isEvacuated(A));
            assertFalse(evacuations.isEvacuated(B));

            assertEquals(List.of(ended(A, 1, 4)), read(1, 5, ended(A, 1, 4)));

            assertFalse(evacuations.isEvacuated(A));
        }

        @Test
        void testTwoDomainsAreIndependent() {
            readAll(1, 0);
            read(1, 2, begun(A, 1, 0), begun(B, 1, 1));
            assertEquals(Set.of(A, B), evacuations.evacuated());

            read(1, 3, ended(A, 1, 2));

            assertEquals(Set.of(B), evacuations.evacuated());
        }

        @Test
        void testARepeatedRequestIsNoChange() {
            readAll(1, 4, begun(A, 1, 3));

            assertEquals(List.of(), read(1, 5, begun(A, 1, 4)));
        }

        /** Guards against an evacuation that outlives its removal because the removal was only seen as an absence. */
        @Test
        void testARequestThatACompleteReadNoLongerShowsHasEnded() {
            readAll(1, 4, begun(A, 1, 3));

            assertEquals(List.of(ended(A, 1, 8)), readAll(1, 9));
        }

        @Test
        void testARequestAppendedAfterTheReadThatLacksItStays() {
            readAll(1, 4);
            evacuations.onPeerState(begun(A, 1, 6));

            assertEquals(List.of(), readAll(1, 6));

            assertTrue(evacuations.isEvacuated(A));
        }

        @Test
        void testARequestAtTheFirstOffsetSupersedesTheAbsenceFromAnEmptyLog() {
            evacuations.onPeerState(begun(A, 1, 5));
            readAll(2, 0);
            clock.advanceMillis(EraTracker.REWRITE_MILLIS);
            read(2, 0);
            assertFalse(evacuations.isEvacuated(A));

            read(2, 1, begun(A, 2, 0));

            assertTrue(evacuations.isEvacuated(A));
        }
    }

    /** What peers state, late, twice or out of order. */
    @Nested
    final class Peers {
        @Test
        void testAnInstanceThatHasReadNothingLearnsFromAPeer() {
            assertEquals(Optional.of(begun(A, 1, 3)), evacuations.onPeerState(begun(A, 1, 3)));
            assertEquals(Optional.of(ended(A, 1, 5)), evacuations.onPeerState(ended(A, 1, 5)));

            assertFalse(evacuations.isEvacuated(A));
        }

        /** Guards against an older status that arrives after the removal and evacuates the domain again. */
        @Test
        void testAnOlderStatementAfterARemovalHasNoEffect() {
            evacuations.onPeerState(ended(A, 1, 5));

            assertEquals(Optional.empty(), evacuations.onPeerState(begun(A, 1, 3)));

            assertFalse(evacuations.isEvacuated(A));
        }

        @Test
        void testAnOlderRemovalDoesNotOverrideANewerRequest() {
            evacuations.onPeerState(begun(A, 1, 7));

            assertEquals(Optional.empty(), evacuations.onPeerState(ended(A, 1, 5)));
            assertEquals(List.of(), read(1, 6, ended(A, 1, 5)));

            assertTrue(evacuations.isEvacuated(A));
        }

        @Test
        void testAnOlderStatementHasNoEffectLongAfterTheRemovalWasRead() {
            readAll(1, 4, begun(A, 1, 3));
            read(1, 5, ended(A, 1, 4));
            clock.advanceMillis(EraTracker.REWRITE_MILLIS + Evacuations.END_SHARED_MILLIS);
            read(1, 5);
            assertEquals(List.of(), evacuations.toShare());

            assertEquals(Optional.empty(), evacuations.onPeerState(begun(A, 1, 3)));

            assertFalse(evacuations.isEvacuated(A));
        }

        /** Guards against a cut-off instance that keeps an evacuation because its end is no longer stated. */
        @Test
        void testAPeerThatHoldsAnEndedEvacuationIsToldOfTheEndAgain() {
            readAll(1, 9);

            evacuations.onPeerState(begun(A, 1, 3));

            assertEquals(List.of(ended(A, 1, 8)), evacuations.toShare());
        }

        @Test
        void testEvacuationsAreStatedWhileInForceAndEndsForSomeTime() {
            readAll(1, 4, begun(A, 1, 3));
            clock.advanceMillis(10 * Evacuations.END_SHARED_MILLIS);
            assertEquals(List.of(begun(A, 1, 3)), evacuations.toShare());

            read(1, 5, ended(A, 1, 4));
            assertEquals(List.of(ended(A, 1, 4)), evacuations.toShare());
            clock.advanceMillis(Evacuations.END_SHARED_MILLIS);

            assertEquals(List.of(), evacuations.toShare());
        }

        /** Guards against a peer that fills memory and statuses with names of domains. */
        @Test
        void testPeersCannotAddDomainsWithoutBound() {
            for (int index = 0; index < 10 * Evacuations.MAX_SHARED; index++) {
                evacuations.onPeerState(begun(new FailureDomain("d-" + index), 1, index));
            }
            assertEquals(Evacuations.MAX_SHARED, evacuations.evacuated().size());

            read(1, 2_001, begun(A, 1, 2_000));

            assertTrue(evacuations.isEvacuated(A));
            assertEquals(Evacuations.MAX_SHARED, evacuations.toShare().size());
        }
    }

    /** A store that was restored from a copy; its offsets are assigned again. */
    @Nested
    final class Eras {
        private void evacuateInFirstEra() {
            readAll(1, 10, begun(A, 1, 9));
        }

        /** Guards against calls to an evacuated domain because the copy lacks the request. */
        @Test
        void testARequestThatTheCopyLacksHoldsUntilLostRecordsCountAsWrittenAgain() {
            evacuateInFirstEra();

            assertEquals(List.of(), readAll(2, 5));
            clock.advanceMillis(EraTracker.REWRITE_MILLIS - 1);
            assertEquals(List.of(), read(2, 6));
            assertTrue(evacuations.isEvacuated(A));
            clock.advanceMillis(1);

            assertEquals(List.of(ended(A, 2, 5)), read(2, 6));
        }

        @Test
        void testARequestThatIsWrittenAgainHoldsWithoutInterruption() {
            evacuateInFirstEra();
            readAll(2, 5);

            assertEquals(List.of(), read(2, 6, begun(A, 2, 5)));
            clock.advanceMillis(EraTracker.REWRITE_MILLIS);
            assertEquals(List.of(), read(2, 6));

            assertTrue(evacuations.isEvacuated(A));
        }

        @Test
        void testARemovalInTheNewEraSupersedesARequestAtAHigherOffsetOfTheOldOne() {
            evacuateInFirstEra();
            readAll(2, 5);

            assertEquals(List.of(ended(A, 2, 5)), read(2, 6, ended(A, 2, 5)));
        }

        @Test
        void testAReadThatWasSentBeforeTheEraIsCompleteEndsNothing() {
            evacuateInFirstEra();
            readAll(2, 5);
            long sentMillis = clock.monotonicMillis();
            clock.advanceMillis(2 * EraTracker.REWRITE_MILLIS);

            evacuations.onRecords(new StoreEra(2), List.of(), 5, OptionalLong.of(sentMillis));

            assertTrue(evacuations.isEvacuated(A));
        }

        /** Guards against an evacuation that ends although the record that renews it lies in the next part of the log. */
        @Test
        void testAReadThatDoesNotReachTheEndOfTheLogEndsNothing() {
            evacuateInFirstEra();
            readAll(2, 5);
            clock.advanceMillis(2 * EraTracker.REWRITE_MILLIS);

            evacuations.onRecords(new StoreEra(2), List.of(), 5, OptionalLong.empty());

            assertTrue(evacuations.isEvacuated(A));
        }

        /** Guards against an instance that starts during a restore and tells its peers that the evacuation has ended. */
        @Test
        void testAnInstanceThatStartsAfterTheRestoreKeepsWhatAPeerKnowsFromBefore() {
            readAll(2, 5);

            evacuations.onPeerState(begun(A, 1, 9));
            read(2, 5);

            assertTrue(evacuations.isEvacuated(A));
            clock.advanceMillis(EraTracker.REWRITE_MILLIS);
            assertEquals(List.of(ended(A, 2, 4)), read(2, 5));
            assertEquals(Optional.empty(), evacuations.onPeerState(begun(A, 1, 9)));
            assertFalse(evacuations.isEvacuated(A));
        }

        @Test
        void testAStatementFromALaterEraSupersedesAnEarlierOne() {
            evacuateInFirstEra();

            assertEquals(Optional.of(ended(A, 2, 0)), evacuations.onPeerState(ended(A, 2, 0)));
            assertEquals(Optional.empty(), evacuations.onPeerState(begun(A, 1, 9)));
        }
    }

    /** When refused callers return. */
    @Nested
    final class Retries {
        @Test
        void testRetryTimesAreSpreadOverASecond() {
            assertEquals(1_000, Evacuations.retryAfterMillis(0));
            assertEquals(1_500, Evacuations.retryAfterMillis(0.5));
        }
    }
}
