package org.jasminehub.core.experts;

import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/** The working state of one layer while moves are tried on it; not safe for use by several threads. */
final class LayerBalance {
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

    /** Returns the change that relieves the slowest rank most for each slot it loads, or null where none does. */
    @Nullable
    SlotChange best() {
        int hot = hottest();
        SlotChange best = null;
        for (int source = hot * slotsPerRank; source < (hot + 1) * slotsPerRank; source++) {
            for (int target = 0; target < slots.length; target++) {
                if (rank(target) != hot && slots[source] != slots[target]) {
                    best = better(best, swap(source, target, hot));
                    best = better(best, replication(source, target, hot, best));
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

    /** Gives an expert of the hot rank one replica more, in a slot whose expert has another one. */
    private @Nullable SlotChange replication(int source, int target, int hot, @Nullable SlotChange best) {
        int expert = slots[source];
        int displaced = slots[target];
        int cold = rank(target);
        if (replicas[displaced] < 2 || holds(cold, expert)) {
            return null;
        }
        double share = share(expert, 1);
        double relieved = rankMillis[hot] - (share(expert, 0) - share) / speed[hot];
        double loaded = rankMillis[cold] + (share - share(displaced, 0)) / speed[cold];
        double peak = Math.max(relieved, loaded);
        double reliefToBeat = best == null ? 0 : best.reliefPerMove();
        if (rankMillis[hot] - peak <= reliefToBeat) {
            return null;
        }
        double extra = share(displaced, -1) - share(displaced, 0);
        for (int slot = 0; slot < slots.length; slot++) {
            if (slots[slot] == displaced && slot != target) {
                int rank = rank(slot);
                double base = rank == hot ? relieved : rank == cold ? loaded : rankMillis[rank];
                peak = Math.max(peak, base + extra / speed[rank]);
            }
        }
        return change(source, target, false, rankMillis[hot] - peak);
    }

    /** Exchanges an expert of the hot rank for one of another rank. */
    private @Nullable SlotChange swap(int source, int target, int hot) {
        int cold = rank(target);
        double moved = share(slots[source], 0) - share(slots[target], 0);
        double relieved = rankMillis[hot] - moved / speed[hot];
        double loaded = rankMillis[cold] + moved / speed[cold];
        return change(source, target, true, rankMillis[hot] - Math.max(relieved, loaded));
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

    private int hottest() {
        int hot = 0;
        for (int rank = 1; rank < rankMillis.length; rank++) {
            hot = rankMillis[rank] > rankMillis[hot] ? rank : hot;
        }
        return hot;
    }

    private int rank(int slot) {
        return slot / slotsPerRank;
    }

    private double share(int expert, int moreReplicas) {
        return expertMillis[expert] / (replicas[expert] + moreReplicas);
    }
}
