package org.jasminehub.core.experts.placement;

import java.util.Arrays;

/** One layer's holdings while changes are tried on them; not safe for use by several threads. */
final class LayerLoad {
    /** Stands for the rank or expert that a change does not touch. */
    static final int NONE = -1;

    /** High enough that the most loaded ranks decide, and a power that three squarings give. */
    private static final double SMOOTH_POWER = 8;

    private final double[] expertLoad;
    private final double[] rankPace;
    private final double total;
    private final boolean[][] holds;
    private final int[] replicas;
    private final int[] held;
    private final double[] rankLoad;

    LayerLoad(ReplicaMap map, int layer, double[] expertLoad, double[] rankPace) {
        this.expertLoad = expertLoad;
        this.rankPace = rankPace;
        this.total = Arrays.stream(expertLoad).sum();
        this.holds = new boolean[map.ranks()][map.experts()];
        this.replicas = new int[map.experts()];
        this.held = new int[map.ranks()];
        this.rankLoad = new double[map.ranks()];
        for (int rank = 0; rank < map.ranks(); rank++) {
            for (int expert : map.held(layer, rank)) {
                holds[rank][expert] = true;
                replicas[expert]++;
                held[rank]++;
            }
        }
        recompute();
    }

    boolean holds(int rank, int expert) {
        return holds[rank][expert];
    }

    int replicas(int expert) {
        return replicas[expert];
    }

    int heldBy(int rank) {
        return held[rank];
    }

    int experts() {
        return replicas.length;
    }

    double load(int expert) {
        return expertLoad[expert];
    }

    int hottest() {
        int hot = 0;
        for (int rank = 1; rank < rankLoad.length; rank++) {
            hot = rankLoad[rank] > rankLoad[hot] ? rank : hot;
        }
        return hot;
    }

    /** Returns the most loaded rank's load over the mean, 1 where there is no load. */
    double skew() {
        return total <= 0 ? 1 : rankLoad[hottest()] * rankLoad.length / total;
    }

    /**
     * Returns a smooth form of {@link #skew}: it falls whenever one of the most loaded ranks is relieved, also where two
     * of them are equal and the maximum alone would not move.
     */
    double smoothSkew() {
        if (total <= 0) {
            return 1;
        }
        double sum = 0;
        for (double load : rankLoad) {
            double relative = load * rankLoad.length / total;
            double square = relative * relative;
            double fourth = square * square;
            sum += fourth * fourth;
        }
        return Math.pow(sum / rankLoad.length, 1.0 / SMOOTH_POWER);
    }

    /** Adds {@code expert} to {@code rank}. */
    void add(int rank, int expert) {
        shift(expert, -1);
        holds[rank][expert] = true;
        replicas[expert]++;
        held[rank]++;
        shift(expert, 1);
    }

    /** Takes {@code expert} from {@code rank}. */
    void remove(int rank, int expert) {
        shift(expert, -1);
        holds[rank][expert] = false;
        replicas[expert]--;
        held[rank]--;
        shift(expert, 1);
    }

    int[] toArray(int rank) {
        int[] result = new int[held[rank]];
        int next = 0;
        for (int expert = 0; expert < replicas.length; expert++) {
            if (holds[rank][expert]) {
                result[next++] = expert;
            }
        }
        return result;
    }

    private void shift(int expert, int sign) {
        if (replicas[expert] == 0) {
            return;
        }
        double share = sign * expertLoad[expert] / replicas[expert];
        for (int rank = 0; rank < rankLoad.length; rank++) {
            if (holds[rank][expert]) {
                rankLoad[rank] += share * rankPace[rank];
            }
        }
    }

    private void recompute() {
        Arrays.fill(rankLoad, 0);
        for (int expert = 0; expert < replicas.length; expert++) {
            shift(expert, 1);
        }
    }
}
