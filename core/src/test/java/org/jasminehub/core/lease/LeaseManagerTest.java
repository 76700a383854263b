package org.jasminehub.core.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.identity.InstanceId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class LeaseManagerTest {
    private static final ShardId SHARD = new ShardId("shard-0");
    private static final LeaseTimings TIMINGS = LeaseTimings.STANDARD;
    private static final long EXPIRY_MILLIS = TIMINGS.durationMillis() + TIMINGS.guardMillis();

    private final AtomicLong nonces = new AtomicLong();
    private final List<Event> events = new ArrayList<>();
    private final LeaseManager first = manager("entry-1");
    private final LeaseManager second = manager("entry-2");

    private LeaseManager manager(String name) {
        return new LeaseManager(
                new InstanceId(name), 1, List.of(SHARD), TIMINGS, nonces::incrementAndGet, 0, events::add, 0);
    }

    private void bothRead(long offset, LeaseRecord leaseRecord, long nowMillis) {
        first.onRecordRead(offset, leaseRecord, nowMillis);
        second.onRecordRead(offset, leaseRecord, nowMillis);
    }

    private static LeaseRecord onlyAppend(LeaseManager manager, long nowMillis) {
        List<LeaseRecord> appends = manager.poll(shard -> 0, nowMillis);
        assertEquals(1, appends.size());
        return appends.get(0);
    }

    @Nested
    class Claim {
        @Test
        void testClaimWithLowestOffsetWinsAndItsOffsetIsTheFencingNumber() {
            LeaseRecord claimOfFirst = onlyAppend(first, EXPIRY_MILLIS);
            LeaseRecord claimOfSecond = onlyAppend(second, EXPIRY_MILLIS);
            bothRead(41, claimOfSecond, EXPIRY_MILLIS);
            bothRead(42, claimOfFirst, EXPIRY_MILLIS);
            assertEquals(Optional.of(41L), second.heldFencingNumber(SHARD, EXPIRY_MILLIS));
            assertEquals(Optional.empty(), first.heldFencingNumber(SHARD, EXPIRY_MILLIS));
        }

        @Test
        void testNoClaimBeforeALeaseThatWasNotReadMustHaveExpired() {
            assertEquals(List.of(), first.poll(shard -> 0, EXPIRY_MILLIS - 1));
        }

        @Test
        void testLowerRankedCandidateWaitsLonger() {
            assertEquals(List.of(), second.poll(shard -> 1, EXPIRY_MILLIS));
            assertEquals(
                    1,
                    second.poll(shard -> 1, EXPIRY_MILLIS + TIMINGS.rankDelayMillis())
                            .size());
        }

        @Test
        void testClaimWhoseResponseWasLostTakesEffectWhenReadBack() {
            LeaseRecord claim = onlyAppend(first, EXPIRY_MILLIS);
            long laterMillis = EXPIRY_MILLIS + TIMINGS.resendMillis();
            LeaseRecord resent = onlyAppend(first, laterMillis);
            first.onRecordRead(7, claim, laterMillis);
            first.onRecordRead(8, resent, laterMillis);
            assertEquals(Optional.of(7L), first.heldFencingNumber(SHARD, laterMillis));
            assertEquals(1, events.size());
        }

        @Test
        void testClaimReadAfterItsDurationGrantsNoLease() {
            LeaseRecord claim = onlyAppend(first, EXPIRY_MILLIS);
            long lateMillis = EXPIRY_MILLIS + TIMINGS.durationMillis();
            first.onRecordRead(7, claim, lateMillis);
            assertEquals(Optional.empty(), first.heldFencingNumber(SHARD, lateMillis));
        }
    }

    @Nested
    class Renewal {
        private void firstHolds() {
            bothRead(5, onlyAppend(first, EXPIRY_MILLIS), EXPIRY_MILLIS);
        }

        @Test
        void testRenewedLeaseIsCountedFromTheStartOfTheAppend() {
            firstHolds();
            long renewMillis = EXPIRY_MILLIS + TIMINGS.renewIntervalMillis();
            bothRead(6, onlyAppend(first, renewMillis), renewMillis + 2_000);
            long endMillis = renewMillis + TIMINGS.durationMillis();
            assertEquals(Optional.of(5L), first.heldFencingNumber(SHARD, endMillis - 1));
            assertEquals(Optional.empty(), first.heldFencingNumber(SHARD, endMillis));
            assertEquals(List.of(), second.poll(shard -> 0, endMillis + 2_000));
        }

        @Test
        void testRenewalAfterAnotherClaimIsRejected() {
            firstHolds();
            long resumeMillis = EXPIRY_MILLIS + EXPIRY_MILLIS;
            LeaseRecord renewal = onlyAppend(first, resumeMillis);
            bothRead(6, onlyAppend(second, resumeMillis), resumeMillis);
            bothRead(7, renewal, resumeMillis);
            assertEquals(Optional.empty(), first.heldFencingNumber(SHARD, resumeMillis));
            assertEquals(Optional.of(6L), second.heldFencingNumber(SHARD, resumeMillis));
        }

        @Test
        void testClaimAfterAnUnreadRenewalIsRejected() {
            firstHolds();
            long lateMillis = EXPIRY_MILLIS + EXPIRY_MILLIS;
            LeaseRecord renewal = onlyAppend(first, lateMillis);
            LeaseRecord claim = onlyAppend(second, lateMillis);
            bothRead(6, renewal, lateMillis);
            bothRead(7, claim, lateMillis);
            assertEquals(Optional.of(5L), first.heldFencingNumber(SHARD, lateMillis));
            assertEquals(Optional.empty(), second.heldFencingNumber(SHARD, lateMillis));
        }

        @Test
        void testReleasedLeaseIsClaimedImmediately() {
            firstHolds();
            List<LeaseRecord> releases = first.releaseAll(EXPIRY_MILLIS);
            assertEquals(Optional.empty(), first.heldFencingNumber(SHARD, EXPIRY_MILLIS));
            bothRead(6, releases.get(0), EXPIRY_MILLIS);
            assertEquals(LeaseAction.CLAIM, onlyAppend(second, EXPIRY_MILLIS).action());
        }
    }

    @Group
    class RandomFaults {
        private static final long RUN_MILLIS = 300_000;

        @Property(tries = 400, seed = "20261204")
        void testAtMostOneInstanceHoldsTheLeaseAndAcceptedNumbersNeverDecrease(@ForAll long seed) {
            LeaseSimulation simulation = new LeaseSimulation(seed, TIMINGS, TIMINGS.maxClockDriftRatio() * 0.9);
            assertTrue(simulation.run(RUN_MILLIS) <= 1, "two holders at the same time");
            List<Long> sorted = simulation.acceptedNumbers().stream().sorted().toList();
            assertEquals(sorted, simulation.acceptedNumbers());
            assertTrue(simulation.acceptedNumbers().size() > 0);
            assertTrue(simulation.count("pause") > 0);
        }

        @Property(tries = 200, seed = "4711")
        void testReadersAgreeWhereverTheyStartReadingTheLog(@ForAll long seed) {
            LeaseSimulation simulation = new LeaseSimulation(seed, TIMINGS, 0);
            simulation.run(RUN_MILLIS);
            assertEquals(0, simulation.disagreements());
        }
    }
}
