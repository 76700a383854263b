package org.jasminehub.core.experts.placement;

import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Plans changes that relieve the most loaded rank of each layer within the limits of one change, by replicating, moving
 * and exchanging experts.
 *
 * <p>A few experts receive much of the work, and the set of these experts changes every few seconds. In every layer,
 * all ranks wait for the most loaded one, so a few copies on the right ranks shorten every pass. Different ranks copy
 * in parallel, so the number of copies is limited per rank. Several small changes in sequence are faster than one
 * complete change.
 *
 * <pre>{@code
 * PlacementPlan plan = PlacementPlanner.plan(map, expertLoad, rankSlowdown, limits);
 * }</pre>
 */
public final class PlacementPlanner {
    /**
     * A layer with a lower skew counts as balanced; the measured counts are not accurate enough to distinguish smaller
     * values.
     */
    private static final double BALANCED_SKEW = 1.04;

    /** Smaller gains are treated as rounding errors. */
    private static final double MIN_GAIN = 1e-9;

    private final PlacementLimits limits;
    private final LayerLoad[] layers;
    private final ReplicaMap map;
    private final int[] copies;
    private final int[][] newInLayer;

    private PlacementPlanner(ReplicaMap map, double[][] expertLoad, double[] rankSlowdown, PlacementLimits limits) {
        this.map = map;
        this.limits = limits;
        this.copies = new int[map.ranks()];
        this.newInLayer = new int[map.layers()][map.ranks()];
        this.layers = new LayerLoad[map.layers()];
        for (int layer = 0; layer < layers.length; layer++) {
            layers[layer] = new LayerLoad(map, layer, expertLoad[layer], rankSlowdown);
        }
    }

    /**
     * Returns the plan for {@code map} under {@code expertLoad}; its map is {@code map} itself if no change is
     * worthwhile.
     *
     * @param expertLoad {@code [layer][expert]}: how often each expert is chosen, in any unit
     * @param rankSlowdown the factor by which the work of each rank takes longer than normal; 1 is normal
     */
    public static PlacementPlan plan(
            ReplicaMap map, double[][] expertLoad, double[] rankSlowdown, PlacementLimits limits) {
        PlacementPlanner planner = new PlacementPlanner(map, expertLoad, rankSlowdown, limits);
        double before = map.skew(expertLoad, rankSlowdown);
        boolean[] isDone = new boolean[map.layers()];
        int layer = planner.mostSkewed(isDone);
        while (layer >= 0) {
            if (!planner.improve(layer)) {
                isDone[layer] = true;
            }
            layer = planner.mostSkewed(isDone);
        }
        ReplicaMap planned = planner.toMap();
        int copied = Arrays.stream(planner.copies).sum();
        double after = planned.skew(expertLoad, rankSlowdown);
        boolean isWorthwhile = copied > 0 ? before - after >= limits.minGainPerCopy() * copied : before - after > 0;
        return isWorthwhile
                ? new PlacementPlan(planned, copied, before, after)
                : new PlacementPlan(map, 0, before, before);
    }

    /** Returns the layer with the highest skew that is neither done nor balanced, or -1 if there is none. */
    private int mostSkewed(boolean[] isDone) {
        int mostSkewed = -1;
        for (int layer = 0; layer < layers.length; layer++) {
            boolean isCandidate = !isDone[layer] && layers[layer].skew() > BALANCED_SKEW;
            if (isCandidate && (mostSkewed < 0 || layers[layer].skew() > layers[mostSkewed].skew())) {
                mostSkewed = layer;
            }
        }
        return mostSkewed;
    }

    /** Applies the best change of a layer; returns false if no change gains enough for its copies. */
    private boolean improve(int layer) {
        PlacementMove best = bestMove(layer);
        if (best == null || best.gain() / layers.length < limits.minGainPerCopy() * best.copies()) {
            return false;
        }
        best.apply(layers[layer]);
        layers[layer].recompute();
        if (best.target() != LayerLoad.NONE) {
            countCopy(layer, best.target(), best.expert());
        }
        if (best.returned() != LayerLoad.NONE) {
            countCopy(layer, best.source(), best.returned());
        }
        return true;
    }

    private void countCopy(int layer, int rank, int expert) {
        if (Arrays.binarySearch(map.held(layer, rank), expert) < 0) {
            copies[rank]++;
            newInLayer[layer][rank]++;
        }
    }

    private @Nullable PlacementMove bestMove(int layer) {
        LayerLoad load = layers[layer];
        double before = load.smoothSkew();
        int source = load.mostLoadedRank();
        PlacementMove best = null;
        for (int expert = 0; expert < load.experts(); expert++) {
            if (!load.holds(source, expert) || load.load(expert) <= 0) {
                continue;
            }
            if (load.replicas(expert) > 1) {
                best = better(best, measure(load, before, PlacementMove.drop(source, expert)));
            }
            for (int target = 0; target < map.ranks(); target++) {
                if (target != source && !load.holds(target, expert) && mayCopy(layer, target, expert)) {
                    best = bestMoveTo(layer, source, expert, target, before, best);
                }
            }
        }
        return best;
    }

    private @Nullable PlacementMove bestMoveTo(
            int layer, int source, int expert, int target, double before, @Nullable PlacementMove bestSoFar) {
        LayerLoad load = layers[layer];
        PlacementMove best = bestSoFar;
        if (load.heldCount(target) < limits.placesPerRank()) {
            best = better(best, measure(load, before, PlacementMove.replicate(source, expert, target, LayerLoad.NONE)));
            best = better(best, measure(load, before, PlacementMove.move(source, expert, target)));
        }
        for (int displaced = 0; displaced < load.experts(); displaced++) {
            if (!load.holds(target, displaced) || displaced == expert) {
                continue;
            }
            if (load.replicas(displaced) > 1 && load.heldCount(target) >= limits.placesPerRank()) {
                best = better(best, measure(load, before, PlacementMove.replicate(source, expert, target, displaced)));
            } else if (load.replicas(displaced) == 1
                    && load.replicas(expert) == 1
                    && load.load(displaced) < load.load(expert)
                    && !load.holds(source, displaced)
                    && mayCopy(layer, source, displaced)) {
                best = better(best, measure(load, before, PlacementMove.exchange(source, expert, target, displaced)));
            }
        }
        return best;
    }

    /** Returns the move with its gain, which is measured by applying and undoing it. */
    private static PlacementMove measure(LayerLoad load, double before, PlacementMove move) {
        move.apply(load);
        double gain = before - load.smoothSkew();
        move.undo(load);
        return move.withGain(gain);
    }

    private static @Nullable PlacementMove better(@Nullable PlacementMove bestSoFar, PlacementMove other) {
        if (other.gain() <= MIN_GAIN) {
            return bestSoFar;
        }
        return bestSoFar == null || other.gainPerCopy() > bestSoFar.gainPerCopy() ? other : bestSoFar;
    }

    /** Returns whether the rank may receive the expert; an expert that it holds on the current map needs no copy. */
    private boolean mayCopy(int layer, int rank, int expert) {
        return Arrays.binarySearch(map.held(layer, rank), expert) >= 0
                || (copies[rank] < limits.copiesPerRank() && newInLayer[layer][rank] < limits.newPerLayer());
    }

    private ReplicaMap toMap() {
        int[][][] holdings = new int[layers.length][map.ranks()][];
        for (int layer = 0; layer < layers.length; layer++) {
            for (int rank = 0; rank < map.ranks(); rank++) {
                holdings[layer][rank] = layers[layer].heldExperts(rank);
            }
        }
        return new ReplicaMap(map.experts(), holdings);
    }
}
