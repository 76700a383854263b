package org.jasminehub.core.experts.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Placement of experts whose demand is uneven and shifts. */
final class PlacementPlannerTest {
    private static final int RANKS = 12;
    private static final int EXPERTS = 96;
    private static final int LAYERS = 3;
    private static final int NONE_SLOW = -1;
    private static final double SLOW_PACE = 8;
    private static final PlacementLimits LIMITS = new PlacementLimits(11, 4, 1, 0.005);

    private static final double[] EQUAL = paces(NONE_SLOW);

    private static double[] paces(int slowRank) {
        double[] paces = new double[RANKS];
        Arrays.fill(paces, 1);
        if (slowRank != NONE_SLOW) {
            paces[slowRank] = SLOW_PACE;
        }
        return paces;
    }

    private static ReplicaMap inTurn() {
        int[][][] holdings = new int[LAYERS][RANKS][EXPERTS / RANKS];
        for (int[][] layer : holdings) {
            for (int expert = 0; expert < EXPERTS; expert++) {
                layer[expert % RANKS][expert / RANKS] = expert;
            }
        }
        return new ReplicaMap(EXPERTS, holdings);
    }

    /** Demand like that of a few topics: a Zipf distribution over a random order of experts. */
    private static double[][] demand(long seed) {
        Random random = new Random(seed);
        double[][] load = new double[LAYERS][EXPERTS];
        for (double[] layer : load) {
            for (int expert = 0; expert < EXPERTS; expert++) {
                layer[expert] = 1 / Math.pow(1 + random.nextInt(EXPERTS), 1.1);
            }
        }
        return load;
    }

    /** One change. */
    @Nested
    final class OneChange {
        @Test
        void testNoRankCopiesMoreThanAllowed() {
            ReplicaMap map = inTurn();

            PlacementPlan plan = PlacementPlanner.plan(map, demand(1), EQUAL, LIMITS);

            for (int rank = 0; rank < RANKS; rank++) {
                assertTrue(map.newExperts(plan.map(), rank) <= LIMITS.copiesPerRank(), "rank " + rank);
            }
            assertTrue(plan.skewAfter() < plan.skewBefore());
        }

        @Test
        void testNoRankHoldsMoreThanItsPlaces() {
            ReplicaMap map = inTurn();
            for (int change = 0; change < 12; change++) {
                map = PlacementPlanner.plan(map, demand(change / 3), EQUAL, LIMITS)
                        .map();
                for (int layer = 0; layer < LAYERS; layer++) {
                    for (int rank = 0; rank < RANKS; rank++) {
                        assertTrue(map.held(layer, rank).length <= LIMITS.placesPerRank());
                    }
                }
            }
        }

        @Test
        void testEvenDemandChangesNothing() {
            double[][] even = new double[LAYERS][EXPERTS];
            for (double[] layer : even) {
                Arrays.fill(layer, 5);
            }
            ReplicaMap map = inTurn();

            PlacementPlan plan = PlacementPlanner.plan(map, even, EQUAL, LIMITS);

            assertSame(map, plan.map());
            assertEquals(0, plan.copies());
        }

        @Test
        void testAGainBelowThePriceOfItsCopiesIsLeft() {
            PlacementLimits dear = new PlacementLimits(11, 4, 1, 5);
            ReplicaMap map = inTurn();

            assertSame(map, PlacementPlanner.plan(map, demand(3), EQUAL, dear).map());
        }
    }

    /** The load pattern: demand that shifts, and a few small changes after each shift. */
    @Nested
    final class AfterAShift {
        @Test
        void testThreeSmallChangesBringTheSkewUnderTheTarget() {
            double sum = 0;
            int shifts = 10;
            ReplicaMap map = inTurn();
            for (int shift = 0; shift < shifts; shift++) {
                double[][] load = demand(100 + shift);
                for (int change = 0; change < 3; change++) {
                    map = PlacementPlanner.plan(map, load, EQUAL, LIMITS).map();
                }
                sum += map.skew(load, EQUAL);
            }
            assertTrue(sum / shifts < 1.3, "mean skew after three changes: " + sum / shifts);
        }
    }

    /** The load pattern: one rank of the group works many times slower than the others. */
    @Nested
    final class SlowRank {
        @Test
        void testAFewChangesTakeTheSlowRankOutOfTheWay() {
            double[][] load = demand(7);
            ReplicaMap map = inTurn();
            double before = map.skew(load, paces(4));
            for (int change = 0; change < 4; change++) {
                map = PlacementPlanner.plan(map, load, paces(4), LIMITS).map();
            }
            double after = map.skew(load, paces(4));

            assertTrue(after < 1.6, "skew " + before + " to " + after);
        }
    }
}
