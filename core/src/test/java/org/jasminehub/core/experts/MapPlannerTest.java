package org.jasminehub.core.experts;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.jasminehub.core.document.ExpertRule;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class MapPlannerTest {
    private static final ExpertRule SKEW_FIRST = new ExpertRule(4, 1);
    private static final ExpertRule MOVES_FIRST = new ExpertRule(1, 4);
    private static final PlanLimits LIMITS = new PlanLimits(1000, 5, 1.2, 1000);

    private static GroupLoad load(int ranks, int experts, int hotExperts, double hotFactor) {
        double[][] millis = new double[2][experts];
        for (double[] layer : millis) {
            Arrays.setAll(layer, expert -> expert % 8 == 0 && expert < 8 * hotExperts ? hotFactor : 1.0);
        }
        double[] speed = new double[ranks];
        Arrays.fill(speed, 1.0);
        return new GroupLoad(millis, speed);
    }

    @Nested
    final class Moves {
        @Test
        void testBalancedGroupMovesNothing() {
            MapPlan plan = MapPlanner.plan(ExpertMap.striped(8, 8, 64, 2), load(8, 64, 0, 1), SKEW_FIRST, LIMITS);
            assertEquals(PlanReason.BALANCED, plan.reason());
            assertEquals(0, plan.moves());
        }

        @Test
        void testHotExpertGetsReplicaInSpareSlot() {
            MapPlan plan = MapPlanner.plan(ExpertMap.striped(8, 9, 64, 2), load(8, 64, 1, 6), SKEW_FIRST, LIMITS);
            assertTrue(plan.moves() > 0);
            assertTrue(plan.after().stepMillis() < plan.before().stepMillis());
        }

        @Test
        void testStragglerIsRelievedWithoutSpareSlots() {
            GroupLoad load = load(8, 64, 4, 3);
            load.rankSpeed()[0] = 0.5;
            MapPlan plan = MapPlanner.plan(ExpertMap.striped(8, 8, 64, 2), load, SKEW_FIRST, LIMITS);
            assertTrue(plan.after().stepMillis() < plan.before().stepMillis());
        }

        @Test
        void testGroupWithOneSlotPerRankGainsOnlyFromRankSpeeds() {
            ExpertMap map = ExpertMap.striped(64, 1, 64, 2);
            GroupLoad even = load(64, 64, 1, 6);
            assertEquals(0, MapPlanner.plan(map, even, SKEW_FIRST, LIMITS).moves());
            even.rankSpeed()[0] = 0.5;
            assertTrue(MapPlanner.plan(map, even, SKEW_FIRST, LIMITS).moves() > 0);
        }
    }

    @Nested
    final class Cost {
        private final ExpertMap map = ExpertMap.striped(8, 9, 64, 2);

        @Test
        void testHigherMoveWeightReducesMoves() {
            GroupLoad load = load(8, 64, 3, 1.2);
            PlanLimits limits = new PlanLimits(100, 5, 1.2, 1000);
            MapPlan skewFirst = MapPlanner.plan(map, load, SKEW_FIRST, limits);
            MapPlan movesFirst = MapPlanner.plan(map, load, MOVES_FIRST, limits);
            assertTrue(skewFirst.moves() > 0);
            assertEquals(0, movesFirst.moves());
            assertEquals(PlanReason.NOT_REPAID, movesFirst.reason());
        }

        @Test
        void testBudgetBoundsMoves() {
            MapPlan plan = MapPlanner.plan(map, load(8, 64, 8, 5), SKEW_FIRST, new PlanLimits(1000, 5, 1.2, 1));
            assertTrue(plan.moves() <= 1);
            assertEquals(PlanReason.BUDGET_SPENT, plan.reason());
        }

        @Test
        void testPlanIsStableUnderSameLoad() {
            GroupLoad load = load(8, 64, 1, 6);
            MapPlan first = MapPlanner.plan(map, load, SKEW_FIRST, LIMITS);
            MapPlan second = MapPlanner.plan(first.map(), load, SKEW_FIRST, LIMITS);
            assertEquals(0, second.moves());
        }
    }

    @Nested
    final class Budget {
        private final MoveBudgetPolicy policy = new MoveBudgetPolicy(1000, 800, 0.5);

        @Test
        void testUnusedRateIsSharedAmongOtherGroups() {
            assertArrayEquals(new double[] {100, 450, 450}, policy.fairRates(new double[] {100, 900, 600}), 1e-9);
        }

        @Test
        void testGroupWithSlowStepsStillLoads() {
            assertTrue(policy.streamSafeRate(55, 30) > 0);
        }

        @Test
        void testLoadingStopsWhenStepLeavesNoHeadroom() {
            assertEquals(0, policy.streamSafeRate(30, 30));
            assertEquals(800, policy.streamSafeRate(20, 30));
            assertEquals(400, policy.streamSafeRate(24, 30), 1e-9);
        }
    }
}
