package org.jasminehub.core.experts.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the placement of experts under uneven and shifting demand. */
final class PlacementPlannerTest {
    private static final int RANKS = 12;
    private static final int EXPERTS = 96;
    private static final int LAYERS = 3;
    private static final int NONE_SLOW = -1;
    private static final double SLOWDOWN = 8;
    private static final PlacementLimits LIMITS = new PlacementLimits(11, 4, 1, 0.005);

    private static final double[] NO_SLOWDOWN = slowdowns(NONE_SLOW);

    private static double[] slowdowns(int slowRank) {
        double[] slowdowns = new double[RANKS];
        Arrays.fill(slowdowns, 1);
        if (slowRank != NONE_SLOW) {
            slowdowns[slowRank] = SLOWDOWN;
        }
        return slowdowns;
    }

    private static ReplicaMap roundRobinMap() {
        int[][][] holdings = new int[LAYERS][RANKS][EXPERTS / RANKS];
        for (int[][] layer : holdings) {
            for (int expert = 0; expert < EXPERTS; expert++) {
                layer[expert % RANKS][expert / RANKS] = expert;
            }
        }
        return new ReplicaMap(EXPERTS, holdings);
    }

    /** Returns skewed demand like that of a few topics: Zipf weights of positions drawn at random. */
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

    /** Tests single changes. */
    @Nested
    final class OneChange {
        @Test
        void testNoRankCopiesMoreThanAllowed() {
            ReplicaMap map = roundRobinMap();

            PlacementPlan plan = PlacementPlanner.plan(map, demand(1), NO_SLOWDOWN, LIMITS);

            for (int rank = 0; rank < RANKS; rank++) {
                assertTrue(map.newExpertCount(plan.map(), rank) <= LIMITS.copiesPerRank(), "rank " + rank);
            }
            assertTrue(plan.skewAfter() < plan.skewBefore());
        }

        @Test
        void testNoRankHoldsMoreExpertsThanItsPlaces() {
            ReplicaMap map = roundRobinMap();
            for (int change = 0; change < 12; change++) {
                map = PlacementPlanner.plan(map, demand(change / 3), NO_SLOWDOWN, LIMITS)
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
            ReplicaMap map = roundRobinMap();

            PlacementPlan plan = PlacementPlanner.plan(map, even, NO_SLOWDOWN, LIMITS);

            assertSame(map, plan.map());
            assertEquals(0, plan.copies());
        }

        @Test
        void testGainBelowCostOfItsCopiesIsRejected() {
            PlacementLimits expensive = new PlacementLimits(11, 4, 1, 5);
            ReplicaMap map = roundRobinMap();

            assertSame(
                    map,
                    PlacementPlanner.plan(map, demand(3), NO_SLOWDOWN, expensive)
                            .map());
        }
    }

    /** Tests shifting demand with a few small changes after each shift. */
    @Nested
    final class AfterDemandShift {
        @Test
        void testThreeChangesReduceMeanSkewBelowTarget() {
            double sum = 0;
            int shifts = 10;
            ReplicaMap map = roundRobinMap();
            for (int shift = 0; shift < shifts; shift++) {
                double[][] load = demand(100 + shift);
                for (int change = 0; change < 3; change++) {
                    map = PlacementPlanner.plan(map, load, NO_SLOWDOWN, LIMITS).map();
                }
                sum += map.skew(load, NO_SLOWDOWN);
            }
            assertTrue(sum / shifts < 1.3, "mean skew after three changes: " + sum / shifts);
        }
    }

    /** Tests a group in which one rank is many times slower than the others. */
    @Nested
    final class SlowRank {
        @Test
        void testFourChangesRelieveSlowRank() {
            double[][] load = demand(7);
            ReplicaMap map = roundRobinMap();
            double before = map.skew(load, slowdowns(4));
            for (int change = 0; change < 4; change++) {
                map = PlacementPlanner.plan(map, load, slowdowns(4), LIMITS).map();
            }
            double after = map.skew(load, slowdowns(4));

            assertTrue(after < 1.6, "skew " + before + " to " + after);
        }
    }
}
