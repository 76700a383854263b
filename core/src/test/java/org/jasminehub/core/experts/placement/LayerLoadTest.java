package org.jasminehub.core.experts.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class LayerLoadTest {
    private static final int RANKS = 16;
    private static final int EXPERTS = 40;
    private static final double POWER = 8;

    private static int[][][] roundRobin() {
        int[][] held = new int[RANKS][];
        for (int rank = 0; rank < RANKS; rank++) {
            int first = rank;
            held[rank] = IntStream.range(0, EXPERTS)
                    .filter(expert -> expert % RANKS == first)
                    .toArray();
        }
        return new int[][][] {held};
    }

    /** Computes the smooth skew from the definition: each expert's load is split evenly among the ranks that hold it. */
    private static double smoothSkew(boolean[][] holds, double[] expertLoad, double[] slowdown) {
        double[] rankLoad = new double[RANKS];
        for (int expert = 0; expert < EXPERTS; expert++) {
            int replicas = 0;
            for (boolean[] rank : holds) {
                replicas += rank[expert] ? 1 : 0;
            }
            for (int rank = 0; rank < RANKS; rank++) {
                rankLoad[rank] += holds[rank][expert] ? expertLoad[expert] / replicas * slowdown[rank] : 0;
            }
        }
        double mean = Arrays.stream(expertLoad).sum() / RANKS;
        return Math.pow(
                Arrays.stream(rankLoad)
                        .map(load -> Math.pow(load / mean, POWER))
                        .average()
                        .orElseThrow(),
                1 / POWER);
    }

    @Test
    void testLoadsFollowEveryChangeAsIfComputedAnew() {
        Random random = new Random(3);
        double[] expertLoad = random.doubles(EXPERTS, 1, 1_000).toArray();
        double[] slowdown = random.doubles(RANKS, 1, 3).toArray();
        ReplicaMap map = new ReplicaMap(EXPERTS, roundRobin());
        LayerLoad load = new LayerLoad(map, 0, expertLoad, slowdown);
        boolean[][] holds = new boolean[RANKS][EXPERTS];
        for (int expert = 0; expert < EXPERTS; expert++) {
            holds[expert % RANKS][expert] = true;
        }
        for (int step = 0; step < 2_000; step++) {
            int rank = random.nextInt(RANKS);
            int expert = random.nextInt(EXPERTS);
            if (!holds[rank][expert]) {
                load.add(rank, expert);
                holds[rank][expert] = true;
            } else if (load.replicas(expert) > 1) {
                load.remove(rank, expert);
                holds[rank][expert] = false;
            }
            assertEquals(smoothSkew(holds, expertLoad, slowdown), load.smoothSkew(), 1e-6, "step " + step);
        }
        for (int rank = 0; rank < RANKS; rank++) {
            int of = rank;
            int[] expected = IntStream.range(0, EXPERTS)
                    .filter(expert -> holds[of][expert])
                    .toArray();
            assertEquals(Arrays.toString(expected), Arrays.toString(load.heldExperts(rank)));
        }
    }
}
