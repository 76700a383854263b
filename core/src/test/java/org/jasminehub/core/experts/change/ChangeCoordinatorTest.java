package org.jasminehub.core.experts.change;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class ChangeCoordinatorTest {
    private static final MapRecord FIRST = new MapRecord(MapRecord.Kind.ROSTER, 1, 1, List.of(1L, 1L));

    private final ChangeCoordinator coordinator = new ChangeCoordinator(5);
    private final List<RankState> ranks = new ArrayList<>();
    private final StringBuilder session = new StringBuilder();
    private ChangeState state = coordinator.takeOver(7, 2, FIRST);

    @BeforeEach
    void startRanks() {
        for (int rank = 0; rank < 2; rank++) {
            RankState started = RankState.started(1);
            ranks.add(RankMachine.apply(started, new RankOrder.Join(1, 1, 1, 1, 0), 10)
                    .state());
        }
    }

    private void exchange(int rank) {
        Optional<RankOrder> order = coordinator.order(state, rank);
        if (order.isEmpty()) {
            return;
        }
        RankReply reply = RankMachine.apply(ranks.get(rank), order.get(), 10);
        ranks.set(rank, reply.state());
        session.append("rank ")
                .append(rank)
                .append(' ')
                .append(order.get())
                .append(" -> ")
                .append(reply.code());
        state = coordinator.onReply(state, rank, reply);
        session.append(" : ").append(state.phase()).append('\n');
    }

    private void round() {
        exchange(0);
        exchange(1);
    }

    private void append(boolean answered) {
        MapRecord record = coordinator.record(state).orElseThrow();
        session.append("log ").append(record);
        state = answered ? coordinator.onRecord(state, record, true) : coordinator.onTimeout(state);
        session.append(answered ? "" : " unanswered")
                .append(" : ")
                .append(state.phase())
                .append('\n');
    }

    private void openChange() {
        round();
        state = coordinator.begin(state, 71);
        round();
        ranks.replaceAll(rank -> RankMachine.loaded(rank, 71));
        round();
        round();
    }

    @Test
    void testChangeRunsFromLoadToGo() {
        openChange();
        append(true);
        round();
        ranks.replaceAll(rank -> RankMachine.begin(rank, 15).orElseThrow());
        round();
        Approvals.verify(session);
    }

    @Test
    void testUnansweredCommitReleasesRanksOnOldMapAndRepairsLog() {
        openChange();
        append(false);
        round();
        append(true);
        assertTrue(ranks.stream().allMatch(rank -> rank.runs(1)));
        Approvals.verify(session);
    }

    @Test
    void testRankThatRestartsWhileArmedReturnsOnOldMapAfterRecord() {
        openChange();
        ranks.set(1, RankState.started(2));
        round();
        round();
        append(true);
        round();
        assertTrue(ranks.stream().allMatch(rank -> rank.runs(1)));
        Approvals.verify(session);
    }

    @Test
    void testHolderThatSeesHigherFencingNumberSendsNoOrders() {
        openChange();
        ranks.set(
                0, RankMachine.apply(ranks.get(0), new RankOrder.Survey(9), 10).state());
        exchange(0);
        assertEquals(ChangePhase.FENCED, state.phase());
        assertTrue(coordinator.order(state, 1).isEmpty());
    }

    @Test
    void testGroupIsRoutableOnlyWhileAllRanksAreReachable() {
        round();
        GroupReadiness ready = GroupReadiness.of("text-0", List.of(true, true), state);
        GroupReadiness missing = GroupReadiness.of("text-0", List.of(true, false), state);
        assertTrue(ready.isRoutable());
        assertFalse(missing.isRoutable());
        assertEquals(Optional.of(new GroupReadiness.GroupIncomplete("text-0", List.of(1))), missing.changeFrom(ready));
        assertEquals(Optional.of(new GroupReadiness.GroupWhole("text-0")), ready.changeFrom(missing));
    }
}
