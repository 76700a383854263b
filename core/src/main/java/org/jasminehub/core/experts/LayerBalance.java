package org.jasminehub.core.experts;

import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/** The mutable state of one layer while the planner tries changes on it. Not thread-safe. */
final class LayerBalance {
    /** Smaller differences are treated as rounding errors. */
    private static final double MIN_RELIEF_MILLIS = 1e-9;

    private final int slotsPerRank;
    private final int[] slots;
    private final int[] replicas;
    private final double[] expertMillis;
    private final double[] speed;
    private final double[] rankMillis;

    LayerBalance(ExpertMap map, GroupLoad load, int layer) {
        this.slotsPerRank = map.slotsPerRank();
        this.slots = map.layer(layer);
        this.expertMillis = load.expertMillis()[layer];
        this.speed = load.rankSpeed();
        this.replicas = new int[map.experts()];
        this.rankMillis = new double[map.ranks()];
        for (int expert : slots) {
            replicas[expert]++;
        }
        for (int slot = 0; slot < slots.length; slot++) {
            rankMillis[rank(slot)] += share(slots[slot], 0) / speed[rank(slot)];
        }
    }

    double maxMillis() {
        return Arrays.stream(rankMillis).max().orElse(0);
    }

    int[] slots() {
        return slots.clone();
    }

    /**
     * Returns the change with the largest reduction of the slowest rank's time per loaded slot, or null if none helps.
     */
    @Nullable
    SlotChange bestChange() {
        int slowest = slowestRank();
        SlotChange best = null;
        for (int source = slowest * slotsPerRank; source < (slowest + 1) * slotsPerRank; source++) {
            for (int target = 0; target < slots.length; target++) {
                if (rank(target) != slowest && slots[source] != slots[target]) {
                    best = better(best, swap(source, target, slowest));
                    best = better(best, replication(source, target, slowest, best));
                }
            }
        }
        return best;
    }

    void apply(SlotChange change) {
        int moved = slots[change.source()];
        int displaced = slots[change.target()];
        slots[change.target()] = moved;
        if (change.swap()) {
            slots[change.source()] = displaced;
        } else {
            replicas[displaced]--;
            replicas[moved]++;
        }
        recompute();
    }

    /** Adds a replica of an expert of the slowest rank, replacing an expert that has another replica. */
    private @Nullable SlotChange replication(int source, int target, int slowest, @Nullable SlotChange best) {
        int expert = slots[source];
        int displaced = slots[target];
        int targetRank = rank(target);
        if (replicas[displaced] < 2 || holds(targetRank, expert)) {
            return null;
        }
        double share = share(expert, 1);
        double relieved = rankMillis[slowest] - (share(expert, 0) - share) / speed[slowest];
        double loaded = rankMillis[targetRank] + (share - share(displaced, 0)) / speed[targetRank];
        double peak = Math.max(relieved, loaded);
        double reliefToBeat = best == null ? 0 : best.reliefPerMove();
        if (rankMillis[slowest] - peak <= reliefToBeat) {
            return null;
        }
        double extra = share(displaced, -1) - share(displaced, 0);
        for (int slot = 0; slot < slots.length; slot++) {
            if (slots[slot] == displaced && slot != target) {
                int rank = rank(slot);
                double base = rank == slowest ? relieved : rank == targetRank ? loaded : rankMillis[rank];
                peak = Math.max(peak, base + extra / speed[rank]);
            }
        }
        return change(source, target, false, rankMillis[slowest] - peak);
    }

    /** Exchanges an expert of the slowest rank for one of another rank. */
    private @Nullable SlotChange swap(int source, int target, int slowest) {
        int targetRank = rank(target);
        double moved = share(slots[source], 0) - share(slots[target], 0);
        double relieved = rankMillis[slowest] - moved / speed[slowest];
        double loaded = rankMillis[targetRank] + moved / speed[targetRank];
        return change(source, target, true, rankMillis[slowest] - Math.max(relieved, loaded));
    }

    private static @Nullable SlotChange change(int source, int target, boolean swap, double reliefMillis) {
        return reliefMillis > MIN_RELIEF_MILLIS ? new SlotChange(source, target, swap, reliefMillis) : null;
    }

    private static @Nullable SlotChange better(@Nullable SlotChange one, @Nullable SlotChange other) {
        if (one == null || other == null) {
            return one == null ? other : one;
        }
        return other.reliefPerMove() > one.reliefPerMove() ? other : one;
    }

    private boolean holds(int rank, int expert) {
        for (int slot = rank * slotsPerRank; slot < (rank + 1) * slotsPerRank; slot++) {
            if (slots[slot] == expert) {
                return true;
            }
        }
        return false;
    }

    private void recompute() {
        Arrays.fill(rankMillis, 0);
        for (int slot = 0; slot < slots.length; slot++) {
            rankMillis[rank(slot)] += share(slots[slot], 0) / speed[rank(slot)];
        }
    }

    private int slowestRank() {
        int slowest = 0;
        for (int rank = 1; rank < rankMillis.length; rank++) {
            slowest = rankMillis[rank] > rankMillis[slowest] ? rank : slowest;
        }
        return slowest;
    }

    private int rank(int slot) {
        return slot / slotsPerRank;
    }

    private double share(int expert, int moreReplicas) {
        return expertMillis[expert] / (replicas[expert] + moreReplicas);
    }
}
