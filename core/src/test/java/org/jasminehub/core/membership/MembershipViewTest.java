package org.jasminehub.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class MembershipViewTest {
    private static final ListRemovalRule RULE = ListRemovalRule.STANDARD;
    private static final long REFRESH_MILLIS = 2_000;
    private static final InstanceId FIRST = id(0);

    private final List<Event> events = new ArrayList<>();
    private final MembershipView view = new MembershipView(MembershipSettings.STANDARD, events::add);
    private long nowMillis;

    private static InstanceId id(int number) {
        return new InstanceId("agent-" + number);
    }

    private static Member member(int number, MemberState state) {
        return new Member(
                id(number),
                MemberRole.AGENT,
                state,
                new FailureDomain("domain-" + number % 13),
                "127.0.0.1",
                7000,
                0,
                List.of());
    }

    private static List<Member> live(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(number -> member(number, MemberState.LIVE))
                .toList();
    }

    private static MemberFact fact(long incarnation, MemberState state) {
        return new MemberFact(FIRST, incarnation, state);
    }

    private void read(List<Member> list) {
        nowMillis += REFRESH_MILLIS;
        view.onListRead(list, nowMillis);
    }

    private boolean acceptsNewWork(InstanceId id) {
        return view.status(id, nowMillis).filter(MemberStatus::acceptsNewWork).isPresent();
    }

    private boolean hasEvent(MembershipEventKind kind) {
        return events.stream().anyMatch(event -> event.kind() == kind);
    }

    @Nested
    class Leaving {
        @Test
        void testLeavingReportedOnTheLinkAppliesBeforeTheListShowsIt() {
            read(live(0, 20));
            view.onDirectFact(fact(5, MemberState.LEAVING), nowMillis);
            assertFalse(acceptsNewWork(FIRST));
            read(live(0, 20));
            assertFalse(acceptsNewWork(FIRST));
        }

        @Test
        void testDelayedFactOfAPeerDoesNotMakeALeavingMemberLive() {
            read(live(0, 20));
            view.onPeerFact(fact(5, MemberState.LEAVING));
            view.onPeerFact(fact(5, MemberState.LIVE));
            view.onPeerFact(fact(4, MemberState.LIVE));
            assertFalse(acceptsNewWork(FIRST));
        }

        @Test
        void testNewIncarnationOfALeavingMemberIsLive() {
            read(live(0, 20));
            view.onDirectFact(fact(5, MemberState.LEAVING), nowMillis);
            view.onPeerFact(fact(6, MemberState.LIVE));
            assertTrue(acceptsNewWork(FIRST));
            view.onDirectFact(fact(5, MemberState.LEAVING), nowMillis);
            assertTrue(acceptsNewWork(FIRST));
            assertTrue(hasEvent(MembershipEventKind.MEMBER_RETURNED));
        }

        @Test
        void testLeavingStateOfTheListOverridesTheMembersOwnReport() {
            read(live(0, 20));
            view.onDirectFact(fact(5, MemberState.LIVE), nowMillis);
            List<Member> list = new ArrayList<>(live(1, 20));
            list.add(member(0, MemberState.LEAVING));
            read(list);
            view.onDirectFact(fact(5, MemberState.LIVE), nowMillis);
            assertFalse(acceptsNewWork(FIRST));
            read(live(0, 20));
            assertFalse(acceptsNewWork(FIRST));
            view.onDirectFact(fact(6, MemberState.LIVE), nowMillis);
            assertTrue(acceptsNewWork(FIRST));
        }

        @Test
        void testLeavingStateOfALaggingListIsNotPermanentAfterARestart() {
            List<Member> list = new ArrayList<>(live(1, 20));
            list.add(member(0, MemberState.LEAVING));
            read(list);
            view.onDirectFact(fact(6, MemberState.LIVE), nowMillis);
            assertFalse(acceptsNewWork(FIRST));
            read(live(0, 20));
            assertTrue(acceptsNewWork(FIRST));
        }
    }

    @Nested
    class Contact {
        @Test
        void testSilentMemberReceivesNoWorkUntilItIsHeardAgain() {
            read(live(0, 20));
            view.watch(Set.of(FIRST), nowMillis);
            assertTrue(acceptsNewWork(FIRST));
            nowMillis += MembershipSettings.STANDARD.silenceMillis() + 1;
            view.checkContacts(nowMillis);
            assertFalse(acceptsNewWork(FIRST));
            assertTrue(hasEvent(MembershipEventKind.MEMBER_SILENT));
            view.onDirectFact(fact(5, MemberState.LIVE), nowMillis);
            view.checkContacts(nowMillis);
            assertTrue(acceptsNewWork(FIRST));
        }

        @Test
        void testMemberIsSilentImmediatelyAfterItsLinkBreaks() {
            read(live(0, 20));
            view.watch(Set.of(FIRST), nowMillis);
            view.onLinkBroken(FIRST);
            assertFalse(acceptsNewWork(FIRST));
        }

        @Test
        void testMessageOfAnEarlierIncarnationDoesNotCountAsContact() {
            read(live(0, 20));
            view.watch(Set.of(FIRST), nowMillis);
            view.onPeerFact(fact(6, MemberState.LIVE));
            nowMillis += MembershipSettings.STANDARD.silenceMillis() + 1;
            view.onDirectFact(fact(5, MemberState.LIVE), nowMillis);
            assertFalse(acceptsNewWork(FIRST));
        }
    }

    @Nested
    class ShrinkingList {
        private static final int ALL = 1_300;

        private int liveCount() {
            return (int) view.members(nowMillis).stream()
                    .filter(MemberStatus::acceptsNewWork)
                    .count();
        }

        @Test
        void testLossOfOneFailureDomainIsAppliedImmediately() {
            read(live(0, ALL));
            read(live(ALL / 13, ALL));
            assertEquals(ALL - ALL / 13, liveCount());
            assertFalse(hasEvent(MembershipEventKind.LIST_DOUBTED));
        }

        @Test
        void testEmptyListRemovesNoMembers() {
            read(live(0, ALL));
            read(List.of());
            assertEquals(ALL, liveCount());
            assertTrue(hasEvent(MembershipEventKind.LIST_DOUBTED));
            read(live(0, ALL));
            assertTrue(hasEvent(MembershipEventKind.LIST_BELIEVED));
        }

        @Test
        void testListThatShowsAllMembersAsLeavingRemovesNone() {
            read(live(0, ALL));
            read(live(0, ALL).stream()
                    .map(member -> member.withState(MemberState.LEAVING))
                    .toList());
            assertEquals(ALL, liveCount());
        }

        @Test
        void testGraduallyShrinkingListRemovesAtMostTheShareInAWindow() {
            read(live(0, ALL));
            for (int gone = 100; gone <= 1_000; gone += 100) {
                read(live(gone, ALL));
            }
            assertTrue(liveCount() >= ALL - RULE.immediateRemovals(ALL));
        }

        @Test
        void testMissingMembersAreRemovedAfterTheConfirmationTime() {
            read(live(0, ALL));
            read(live(300, ALL));
            long firstMissingMillis = nowMillis;
            while (nowMillis + REFRESH_MILLIS - firstMissingMillis < RULE.confirmMillis()) {
                read(live(300, ALL));
                assertEquals(ALL, liveCount());
            }
            read(live(300, ALL));
            assertEquals(ALL - 300, liveCount());
        }

        @Test
        void testMissingMemberThatStillSendsMessagesIsKept() {
            read(live(0, 20));
            view.watch(Set.of(FIRST), nowMillis);
            nowMillis += REFRESH_MILLIS;
            view.onDirectFact(fact(5, MemberState.LIVE), nowMillis);
            read(live(1, 20));
            assertTrue(acceptsNewWork(FIRST));
        }
    }
}
