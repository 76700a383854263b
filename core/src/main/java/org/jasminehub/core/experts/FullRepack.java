package org.jasminehub.core.experts;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * Builds a map from the load alone, regardless of the cost of changing to it. Serves as a baseline for
 * {@link MapPlanner}.
 *
 * <p>Each spare slot is given to the expert with the largest load per replica. Replicas are then placed in descending
 * order of load, each on the rank that would finish it first.
 */
public final class FullRepack {
    private FullRepack() {}

    /** Returns a new map with the same dimensions as {@code map}. */
    public static ExpertMap pack(ExpertMap map, GroupLoad load) {
        int[][] slots = new int[map.layers()][];
        for (int layer = 0; layer < slots.length; layer++) {
            slots[layer] = packLayer(map, load.expertMillis()[layer], load.rankSpeed());
        }
        return new ExpertMap(map.ranks(), map.slotsPerRank(), map.experts(), slots);
    }

    private static int[] packLayer(ExpertMap map, double[] expertMillis, double[] speed) {
        int[] replicas = replicas(map, expertMillis);
        int[] order = IntStream.range(0, map.experts())
                .boxed()
                .sorted(Comparator.comparingDouble((Integer expert) -> -expertMillis[expert] / replicas[expert]))
                .flatMapToInt(expert -> IntStream.generate(() -> expert).limit(replicas[expert]))
                .toArray();
        int[] slots = new int[map.ranks() * map.slotsPerRank()];
        int[] used = new int[map.ranks()];
        double[] rankMillis = new double[map.ranks()];
        for (int expert : order) {
            double share = expertMillis[expert] / replicas[expert];
            int rank = firstToFinish(share, rankMillis, speed, used, map.slotsPerRank());
            slots[rank * map.slotsPerRank() + used[rank]++] = expert;
            rankMillis[rank] += share / speed[rank];
        }
        return slots;
    }

    private static int[] replicas(ExpertMap map, double[] expertMillis) {
        int[] replicas = new int[map.experts()];
        Arrays.fill(replicas, 1);
        for (int spare = map.ranks() * map.slotsPerRank() - map.experts(); spare > 0; spare--) {
            int top = 0;
            for (int expert = 1; expert < replicas.length; expert++) {
                boolean larger = expertMillis[expert] / replicas[expert] > expertMillis[top] / replicas[top];
                top = larger ? expert : top;
            }
            replicas[top]++;
        }
        return replicas;
    }

    private static int firstToFinish(double share, double[] rankMillis, double[] speed, int[] used, int slotsPerRank) {
        int first = -1;
        for (int rank = 0; rank < rankMillis.length; rank++) {
            boolean free = used[rank] < slotsPerRank;
            if (free
                    && (first < 0
                            || rankMillis[rank] + share / speed[rank] < rankMillis[first] + share / speed[first])) {
                first = rank;
            }
        }
        return first;
    }
}
