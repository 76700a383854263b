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

/** Every order of events with lost, late and repeated messages, lost answers of the log and a second holder. */
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
            Optional<World> mixed =
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
            assertFound(Rules.armDoesNotHold(), 0);
        }

        @Test
        void testArmTakenAfterItsSwitchStepIsFound() {
            assertFound(Rules.lateArmIsTaken(), 0);
        }

        @Test
        void testRanksThatIgnoreFencingNumbersAreFound() {
            assertFound(Rules.noFencing(), 0);
        }

        @Test
        void testRecordsUnderOldLeaseThatCountAreFound() {
            assertFound(Rules.staleRecordsCount(), 1);
        }

        @Test
        void testRecordsThatNameNoIncarnationAreFound() {
            GroupModel model = new GroupModel(Rules.incarnationsNotNamed(), SWITCH_STEP, 2);
            World idle = model.orderRound(model.initial(2, 2, SWITCH_STEP), true);
            assertFound(model, model.orderRound(model.restart(idle, 0), true));
        }

        private void assertFound(Rules rules, int restarts) {
            GroupModel model = new GroupModel(rules, SWITCH_STEP, 2);
            assertFound(model, model.initial(2, restarts, SWITCH_STEP));
        }

        private void assertFound(GroupModel model, World initial) {
            Exploration exploration = new Exploration(model, 2, MAX_STATES);
            Optional<World> mixed = exploration.run(initial, world -> {});
            assertTrue(mixed.isPresent(), () -> "not found in " + exploration.stateCount() + " states");
        }
    }

    /**
     * Checks that the newest holder ends whatever is open within a few rounds once it reaches every rank: always if the
     * log answers, and without the log too unless a rank has restarted.
     */
    private record ReleaseCheck(GroupModel model, Set<World> checked) implements Consumer<World> {
        ReleaseCheck(GroupModel model) {
            this(model, new HashSet<>());
        }

        @Override
        public void accept(World world) {
            World quiet = withoutMessages(world);
            if (!checked.add(quiet)) {
                return;
            }
            assertTrue(isReleased(quiet, true), () -> "held: " + quiet);
            boolean allJoined =
                    world.lanes().stream().allMatch(lane -> lane.rank().isJoined());
            assertTrue(!allJoined || isReleased(quiet, false), () -> "held without log: " + quiet);
        }

        private boolean isReleased(World world, boolean logAnswers) {
            World next = world;
            for (int round = 0; round < RELEASE_ROUNDS; round++) {
                next = model.fairRound(next, logAnswers);
                assertTrue(!next.isMixed());
            }
            return next.isWhole();
        }

        private static World withoutMessages(World world) {
            List<Lane> lanes = world.lanes().stream()
                    .map(lane -> lane.withMessages(Set.of(), Set.of()))
                    .toList();
            return world.withStep(world.step(), lanes).withLog(world.log(), Set.of(), Set.of());
        }
    }
}
