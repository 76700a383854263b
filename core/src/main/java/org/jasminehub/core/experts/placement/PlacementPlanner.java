package org.jasminehub.core.experts.placement;

import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Relieves the most loaded rank of each layer by replicas and exchanges, within what one change may copy.
 *
 * <p>Load pattern: a few experts get much of the work, and which ones changes every few seconds. All ranks wait for the
 * most loaded one in every layer, so a few copies on the right ranks shorten every pass. Copies on different ranks run
 * at the same time; therefore the bound is for each rank, and several small changes follow each other faster than one
 * complete change.
 *
 * <pre>{@code
 * PlacementPlan plan = PlacementPlanner.plan(map, expertLoad, rankPace, limits);
 * }</pre>
 */
public final class PlacementPlanner {
    /** Below this a layer is as good as balanced: the counts that it is judged by are no more exact. */
    private static final double BALANCED_SKEW = 1.04;

    /** A gain below this is rounding. */
    private static final double MIN_GAIN = 1e-9;

    private final PlacementLimits limits;
    private final LayerLoad[] layers;
    private final ReplicaMap map;
    private final int[] copies;
    private final int[][] newInLayer;

    private PlacementPlanner(ReplicaMap map, double[][] expertLoad, double[] rankPace, PlacementLimits limits) {
        this.map = map;
        this.limits = limits;
        this.copies = new int[map.ranks()];
        this.newInLayer = new int[map.layers()][map.ranks()];
        this.layers = new LayerLoad[map.layers()];
        for (int layer = 0; layer < layers.length; layer++) {
            layers[layer] = new LayerLoad(map, layer, expertLoad[layer], rankPace);
        }
    }

    /**
     * Returns the change of {@code map} that pays under {@code expertLoad}, possibly none.
     *
     * @param expertLoad {@code [layer][expert]}: how often each expert is chosen, in any unit
     * @param rankPace how many times as long each rank's work takes, 1 for a rank that is not slow
     */
    public static PlacementPlan plan(ReplicaMap map, double[][] expertLoad, double[] rankPace, PlacementLimits limits) {
        PlacementPlanner planner = new PlacementPlanner(map, expertLoad, rankPace, limits);
        double before = map.skew(expertLoad, rankPace);
        boolean[] isDone = new boolean[map.layers()];
        int layer = planner.worst(isDone);
        while (layer >= 0) {
            if (!planner.improve(layer)) {
                isDone[layer] = true;
            }
            layer = planner.worst(isDone);
        }
        ReplicaMap planned = planner.result();
        int copied = Arrays.stream(planner.copies).sum();
        double after = planned.skew(expertLoad, rankPace);
        boolean isWorth = copied > 0 ? before - after >= limits.minGainPerCopy() * copied : before - after > 0;
        return isWorth ? new PlacementPlan(planned, copied, before, after) : new PlacementPlan(map, 0, before, before);
    }

    private int worst(boolean[] isDone) {
        int worst = -1;
        for (int layer = 0; layer < layers.length; layer++) {
            boolean isOpen = !isDone[layer] && layers[layer].skew() > BALANCED_SKEW;
            if (isOpen && (worst < 0 || layers[layer].skew() > layers[worst].skew())) {
                worst = layer;
            }
        }
        return worst;
    }

    /** Applies the best change of a layer and returns whether there was one that pays for its copies. */
    private boolean improve(int layer) {
        PlacementMove best = bestMove(layer);
        if (best == null || best.gain() / layers.length < limits.minGainPerCopy() * best.copies()) {
            return false;
        }
        best.apply(layers[layer]);
        if (best.target() != LayerLoad.NONE) {
            note(layer, best.target(), best.expert());
        }
        if (best.returned() != LayerLoad.NONE) {
            note(layer, best.source(), best.returned());
        }
        return true;
    }

    private void note(int layer, int rank, int expert) {
        if (Arrays.binarySearch(map.held(layer, rank), expert) < 0) {
            copies[rank]++;
            newInLayer[layer][rank]++;
        }
    }

    private @Nullable PlacementMove bestMove(int layer) {
        LayerLoad load = layers[layer];
        double before = load.smoothSkew();
        int hot = load.hottest();
        PlacementMove best = null;
        for (int expert = 0; expert < load.experts(); expert++) {
            if (!load.holds(hot, expert) || load.load(expert) <= 0) {
                continue;
            }
            if (load.replicas(expert) > 1) {
                best = better(best, tried(load, before, PlacementMove.drop(hot, expert)));
            }
            for (int target = 0; target < map.ranks(); target++) {
                if (target != hot && !load.holds(target, expert) && mayCopy(layer, target, expert)) {
                    best = bestInto(layer, hot, expert, target, before, best);
                }
            }
        }
        return best;
    }

    private @Nullable PlacementMove bestInto(
            int layer, int hot, int expert, int target, double before, @Nullable PlacementMove known) {
        LayerLoad load = layers[layer];
        PlacementMove best = known;
        if (load.heldBy(target) < limits.placesPerRank()) {
            best = better(best, tried(load, before, PlacementMove.replicate(hot, expert, target, LayerLoad.NONE)));
            best = better(best, tried(load, before, PlacementMove.move(hot, expert, target)));
        }
        for (int displaced = 0; displaced < load.experts(); displaced++) {
            if (!load.holds(target, displaced) || displaced == expert) {
                continue;
            }
            if (load.replicas(displaced) > 1 && load.heldBy(target) >= limits.placesPerRank()) {
                best = better(best, tried(load, before, PlacementMove.replicate(hot, expert, target, displaced)));
            } else if (load.replicas(displaced) == 1
                    && load.replicas(expert) == 1
                    && load.load(displaced) < load.load(expert)
                    && !load.holds(hot, displaced)
                    && mayCopy(layer, hot, displaced)) {
                best = better(best, tried(load, before, PlacementMove.exchange(hot, expert, target, displaced)));
            }
        }
        return best;
    }

    private static PlacementMove tried(LayerLoad load, double before, PlacementMove move) {
        move.apply(load);
        double gain = before - load.smoothSkew();
        move.undo(load);
        return move.withGain(gain);
    }

    private static @Nullable PlacementMove better(@Nullable PlacementMove known, PlacementMove other) {
        if (other.gain() <= MIN_GAIN) {
            return known;
        }
        return known == null || other.gainPerCopy() > known.gainPerCopy() ? other : known;
    }

    /** An expert that the rank has at present costs no copy. */
    private boolean mayCopy(int layer, int rank, int expert) {
        return Arrays.binarySearch(map.held(layer, rank), expert) >= 0
                || (copies[rank] < limits.copiesPerRank() && newInLayer[layer][rank] < limits.newPerLayer());
    }

    private ReplicaMap result() {
        int[][][] holdings = new int[layers.length][map.ranks()][];
        for (int layer = 0; layer < layers.length; layer++) {
            for (int rank = 0; rank < map.ranks(); rank++) {
                holdings[layer][rank] = layers[layer].toArray(rank);
            }
        }
        return new ReplicaMap(map.experts(), holdings);
    }
}
