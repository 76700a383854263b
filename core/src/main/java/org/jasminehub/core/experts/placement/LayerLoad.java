package org.jasminehub.core.experts.placement;

import java.util.Arrays;

/**
 * The mutable assignment of experts to ranks in one layer, on which the planner tries changes.
 *
 * <p>The planner tries thousands of changes in a group of 64 ranks, each of which affects only the few ranks that hold
 * an expert. Loads and their smooth maximum are therefore updated for these ranks only.
 *
 * <p>Not thread-safe.
 */
final class LayerLoad {
    /** Denotes that a change affects no rank or expert. */
    static final int NONE = -1;

    private final double[] expertLoad;
    private final double[] rankSlowdown;
    private final double totalLoad;
    private final boolean[][] holds;
    private final int[] replicas;
    private final int[] held;
    private final double[] rankLoad;
    /** The ranks that hold each expert, in the first {@code replicas} places. */
    private final int[][] holders;

    private double eighthPowers;

    LayerLoad(ReplicaMap map, int layer, double[] expertLoad, double[] rankSlowdown) {
        this.expertLoad = expertLoad;
        this.rankSlowdown = rankSlowdown;
        this.totalLoad = Arrays.stream(expertLoad).sum();
        this.holds = new boolean[map.ranks()][map.experts()];
        this.replicas = new int[map.experts()];
        this.held = new int[map.ranks()];
        this.rankLoad = new double[map.ranks()];
        this.holders = new int[map.experts()][map.ranks()];
        for (int rank = 0; rank < map.ranks(); rank++) {
            for (int expert : map.held(layer, rank)) {
                hold(rank, expert);
            }
        }
        recompute();
    }

    private void hold(int rank, int expert) {
        holds[rank][expert] = true;
        holders[expert][replicas[expert]] = rank;
        replicas[expert]++;
        held[rank]++;
    }

    private void release(int rank, int expert) {
        holds[rank][expert] = false;
        replicas[expert]--;
        held[rank]--;
        int[] ranks = holders[expert];
        for (int index = 0; index < replicas[expert]; index++) {
            if (ranks[index] == rank) {
                ranks[index] = ranks[replicas[expert]];
                return;
            }
        }
    }

    boolean holds(int rank, int expert) {
        return holds[rank][expert];
    }

    int replicas(int expert) {
        return replicas[expert];
    }

    int heldCount(int rank) {
        return held[rank];
    }

    int experts() {
        return replicas.length;
    }

    double load(int expert) {
        return expertLoad[expert];
    }

    int mostLoadedRank() {
        int mostLoaded = 0;
        for (int rank = 1; rank < rankLoad.length; rank++) {
            mostLoaded = rankLoad[rank] > rankLoad[mostLoaded] ? rank : mostLoaded;
        }
        return mostLoaded;
    }

    /** Returns the ratio of the most loaded rank's load to the mean, or 1 if there is no load. */
    double skew() {
        return totalLoad <= 0 ? 1 : rankLoad[mostLoadedRank()] * rankLoad.length / totalLoad;
    }

    /**
     * Returns a smooth approximation of {@link #skew}: the power mean of the relative rank loads. It decreases whenever
     * one of the most loaded ranks is relieved, even if another rank has the same load and the maximum stays the same.
     */
    double smoothSkew() {
        if (totalLoad <= 0) {
            return 1;
        }
        double meanPower = Math.max(0, eighthPowers) / rankLoad.length;
        return Math.sqrt(Math.sqrt(Math.sqrt(meanPower))) * rankLoad.length / totalLoad;
    }

    private static double eighthPower(double value) {
        double square = value * value;
        double fourth = square * square;
        return fourth * fourth;
    }

    /** Adds {@code expert} to {@code rank}. */
    void add(int rank, int expert) {
        addShares(expert, -1);
        hold(rank, expert);
        addShares(expert, 1);
    }

    /** Removes {@code expert} from {@code rank}. */
    void remove(int rank, int expert) {
        addShares(expert, -1);
        release(rank, expert);
        addShares(expert, 1);
    }

    int[] heldExperts(int rank) {
        int[] result = new int[held[rank]];
        int next = 0;
        for (int expert = 0; expert < replicas.length; expert++) {
            if (holds[rank][expert]) {
                result[next++] = expert;
            }
        }
        return result;
    }

    /** Adds the load of {@code expert}, times {@code sign}, to the ranks that hold it. */
    private void addShares(int expert, int sign) {
        if (replicas[expert] == 0) {
            return;
        }
        double share = sign * expertLoad[expert] / replicas[expert];
        for (int index = 0; index < replicas[expert]; index++) {
            int rank = holders[expert][index];
            double previous = rankLoad[rank];
            rankLoad[rank] = previous + share * rankSlowdown[rank];
            eighthPowers += eighthPower(rankLoad[rank]) - eighthPower(previous);
        }
    }

    /** Computes all loads anew, because small rounding errors of the updates add up. */
    void recompute() {
        Arrays.fill(rankLoad, 0);
        eighthPowers = 0;
        for (int expert = 0; expert < replicas.length; expert++) {
            addShares(expert, 1);
        }
        eighthPowers = 0;
        for (double load : rankLoad) {
            eighthPowers += eighthPower(load);
        }
    }
}
