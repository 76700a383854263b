package org.jasminehub.core.experts.change;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Explores all interleavings of a map change with lost, delayed and repeated messages, unanswered appends to the log
 * and a second lease holder.
 */
final class MapChangeExplorationTest {
    private static final int MAX_STATES = 1_500_000;
    private static final int SWITCH_STEP = 2;
    private static final int RELEASE_ROUNDS = 4;

    @Nested
    final class SoundRules {
        @Test
        void testTwoRanksWithRestartAndSecondHolder() {
            explore(2, 1, 2);
        }

        @Test
        void testThreeRanksWithSecondHolder() {
            explore(3, 0, 2);
        }

        @Test
        void testThreeRanksWithRestart() {
            explore(3, 1, 1);
        }

        private void explore(int ranks, int restarts, int holders) {
            GroupModel model = new GroupModel(Rules.SOUND, SWITCH_STEP, holders);
            Exploration exploration = new Exploration(model, ranks, MAX_STATES);
            Optional<GroupState> mixed =
                    exploration.run(model.initial(ranks, restarts, SWITCH_STEP), new ReleaseCheck(model));
            System.out.println(ranks + " ranks, " + restarts + " restarts, " + holders + " holders: "
                    + exploration.stateCount() + " states");
            assertEquals(Optional.empty(), mixed);
            assertTrue(exploration.isComplete());
        }
    }

    @Nested
    final class Faults {
        @Test
        void testArmThatDoesNotHoldIsFound() {
            assertFaultFound(Rules.armDoesNotHold(), 0);
        }

        @Test
        void testArmAcceptedAfterItsSwitchStepIsFound() {
            assertFaultFound(Rules.lateArmIsAccepted(), 0);
        }

        @Test
        void testRanksThatIgnoreFencingNumbersAreFound() {
            assertFaultFound(Rules.noFencing(), 0);
        }

        @Test
        void testAppliedRecordsOfOldLeasesAreFound() {
            assertFaultFound(Rules.staleRecordsAreApplied(), 1);
        }

        @Test
        void testRecordsWithoutIncarnationsAreFound() {
            GroupModel model = new GroupModel(Rules.incarnationsAreOmitted(), SWITCH_STEP, 2);
            GroupState idle = model.orderRound(model.initial(2, 2, SWITCH_STEP), true);
            assertFaultFound(model, model.orderRound(model.restart(idle, 0), true));
        }

        private void assertFaultFound(Rules rules, int restarts) {
            GroupModel model = new GroupModel(rules, SWITCH_STEP, 2);
            assertFaultFound(model, model.initial(2, restarts, SWITCH_STEP));
        }

        private void assertFaultFound(GroupModel model, GroupState initial) {
            Exploration exploration = new Exploration(model, 2, MAX_STATES);
            Optional<GroupState> mixed = exploration.run(initial, group -> {});
            assertTrue(mixed.isPresent(), () -> "fault not found in " + exploration.stateCount() + " states");
        }
    }

    /**
     * Checks that the newest holder completes or aborts an open change within a few rounds once it reaches every rank.
     * It must do so without the log as well, unless a rank has restarted.
     */
    private record ReleaseCheck(GroupModel model, Set<GroupState> checked) implements Consumer<GroupState> {
        ReleaseCheck(GroupModel model) {
            this(model, new HashSet<>());
        }

        @Override
        public void accept(GroupState group) {
            GroupState drained = clearMessages(group);
            if (!checked.add(drained)) {
                return;
            }
            assertTrue(isReleased(drained, true), () -> "open change not ended: " + drained);
            boolean allJoined =
                    group.nodes().stream().allMatch(node -> node.rank().isJoined());
            assertTrue(!allJoined || isReleased(drained, false), () -> "open change not ended without log: " + drained);
        }

        private boolean isReleased(GroupState group, boolean logAnswers) {
            GroupState next = group;
            for (int round = 0; round < RELEASE_ROUNDS; round++) {
                next = model.completeRound(next, logAnswers);
                assertTrue(!next.hasMixedMaps());
            }
            return next.isSettled();
        }

        private static GroupState clearMessages(GroupState group) {
            List<RankNode> nodes = group.nodes().stream()
                    .map(node -> node.withMessages(Set.of(), Set.of()))
                    .toList();
            return group.withStep(group.step(), nodes).withLog(group.log(), Set.of(), Set.of());
        }
    }
}
