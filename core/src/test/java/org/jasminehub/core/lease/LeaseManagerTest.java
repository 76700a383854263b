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
    private static final LeaseTerms TERMS = LeaseTerms.STANDARD;
    private static final long EXPIRY_MILLIS = TERMS.durationMillis() + TERMS.guardMillis();

    private final AtomicLong nonces = new AtomicLong();
    private final List<Event> events = new ArrayList<>();
    private final LeaseManager first = manager("entry-1");
    private final LeaseManager second = manager("entry-2");

    private LeaseManager manager(String name) {
        return new LeaseManager(
                new InstanceId(name), 1, List.of(SHARD), TERMS, nonces::incrementAndGet, 0, events::add, 0);
    }

    private void bothRead(long offset, LeaseRecord leaseRecord, long nowMillis) {
        first.recordRead(offset, leaseRecord, nowMillis);
        second.recordRead(offset, leaseRecord, nowMillis);
    }

    private static LeaseRecord onlyAppend(LeaseManager manager, long nowMillis) {
        List<LeaseRecord> appends = manager.poll(shard -> 0, nowMillis);
        assertEquals(1, appends.size());
        return appends.get(0);
    }

    @Nested
    class Claim {
        @Test
        void testLowestOffsetWinsAndItsOffsetIsTheNumber() {
            LeaseRecord claimOfFirst = onlyAppend(first, EXPIRY_MILLIS);
            LeaseRecord claimOfSecond = onlyAppend(second, EXPIRY_MILLIS);
            bothRead(41, claimOfSecond, EXPIRY_MILLIS);
            bothRead(42, claimOfFirst, EXPIRY_MILLIS);
            assertEquals(Optional.of(41L), second.heldNumber(SHARD, EXPIRY_MILLIS));
            assertEquals(Optional.empty(), first.heldNumber(SHARD, EXPIRY_MILLIS));
        }

        @Test
        void testNothingIsClaimedBeforeAnUnseenLeaseMustHaveExpired() {
            assertEquals(List.of(), first.poll(shard -> 0, EXPIRY_MILLIS - 1));
        }

        @Test
        void testLaterRankWaitsLonger() {
            assertEquals(List.of(), second.poll(shard -> 1, EXPIRY_MILLIS));
            assertEquals(
                    1,
                    second.poll(shard -> 1, EXPIRY_MILLIS + TERMS.rankDelayMillis())
                            .size());
        }

        @Test
        void testLostAnswerIsSettledByReadingOn() {
            LeaseRecord claim = onlyAppend(first, EXPIRY_MILLIS);
            long laterMillis = EXPIRY_MILLIS + TERMS.resendMillis();
            LeaseRecord repeated = onlyAppend(first, laterMillis);
            first.recordRead(7, claim, laterMillis);
            first.recordRead(8, repeated, laterMillis);
            assertEquals(Optional.of(7L), first.heldNumber(SHARD, laterMillis));
            assertEquals(1, events.size());
        }

        @Test
        void testClaimThatLandsAfterItsTimeGivesNothing() {
            LeaseRecord claim = onlyAppend(first, EXPIRY_MILLIS);
            long lateMillis = EXPIRY_MILLIS + TERMS.durationMillis();
            first.recordRead(7, claim, lateMillis);
            assertEquals(Optional.empty(), first.heldNumber(SHARD, lateMillis));
        }
    }

    @Nested
    class Renewal {
        private void firstHolds() {
            bothRead(5, onlyAppend(first, EXPIRY_MILLIS), EXPIRY_MILLIS);
        }

        @Test
        void testHolderCountsFromBeforeTheAppend() {
            firstHolds();
            long renewMillis = EXPIRY_MILLIS + TERMS.renewIntervalMillis();
            bothRead(6, onlyAppend(first, renewMillis), renewMillis + 2_000);
            long endMillis = renewMillis + TERMS.durationMillis();
            assertEquals(Optional.of(5L), first.heldNumber(SHARD, endMillis - 1));
            assertEquals(Optional.empty(), first.heldNumber(SHARD, endMillis));
            assertEquals(List.of(), second.poll(shard -> 0, endMillis + 2_000));
        }

        @Test
        void testRenewalAfterAnotherClaimDoesNothing() {
            firstHolds();
            long thawMillis = EXPIRY_MILLIS + EXPIRY_MILLIS;
            LeaseRecord renewal = onlyAppend(first, thawMillis);
            bothRead(6, onlyAppend(second, thawMillis), thawMillis);
            bothRead(7, renewal, thawMillis);
            assertEquals(Optional.empty(), first.heldNumber(SHARD, thawMillis));
            assertEquals(Optional.of(6L), second.heldNumber(SHARD, thawMillis));
        }

        @Test
        void testClaimAfterAnUnreadRenewalDoesNothing() {
            firstHolds();
            long lateMillis = EXPIRY_MILLIS + EXPIRY_MILLIS;
            LeaseRecord renewal = onlyAppend(first, lateMillis);
            LeaseRecord claim = onlyAppend(second, lateMillis);
            bothRead(6, renewal, lateMillis);
            bothRead(7, claim, lateMillis);
            assertEquals(Optional.of(5L), first.heldNumber(SHARD, lateMillis));
            assertEquals(Optional.empty(), second.heldNumber(SHARD, lateMillis));
        }

        @Test
        void testReleasedLeaseIsClaimedAtOnce() {
            firstHolds();
            List<LeaseRecord> releases = first.releaseAll(EXPIRY_MILLIS);
            assertEquals(Optional.empty(), first.heldNumber(SHARD, EXPIRY_MILLIS));
            bothRead(6, releases.get(0), EXPIRY_MILLIS);
            assertEquals(LeaseAction.CLAIM, onlyAppend(second, EXPIRY_MILLIS).action());
        }
    }

    @Group
    class RandomHistory {
        private static final long RUN_MILLIS = 300_000;

        @Property(tries = 400, seed = "20261204")
        void testAtMostOneInstanceHoldsAtATimeAndNumbersNeverFall(@ForAll long seed) {
            LeaseHistory history = new LeaseHistory(seed, TERMS, TERMS.toleratedDriftShare() * 0.9);
            assertTrue(history.run(RUN_MILLIS) <= 1, "two holders at one time");
            List<Long> sorted = history.acceptedNumbers().stream().sorted().toList();
            assertEquals(sorted, history.acceptedNumbers());
            assertTrue(history.acceptedNumbers().size() > 0);
            assertTrue(history.count("pause") > 0);
        }

        @Property(tries = 200, seed = "4711")
        void testReadersAgreeWhereverInTheLogTheyStart(@ForAll long seed) {
            LeaseHistory history = new LeaseHistory(seed, TERMS, 0);
            history.run(RUN_MILLIS);
            assertEquals(0, history.disagreements());
        }
    }
}
