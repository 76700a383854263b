package org.jasminehub.core.experts.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * The experts that each rank of a group holds in each layer. An expert may be replicated on several ranks, which share
 * its tokens evenly. Immutable.
 *
 * <pre>{@code
 * ReplicaMap map = new ReplicaMap(96, new int[][][] {{{0, 2}, {1, 0}}}); // [layer][rank] -> experts
 * }</pre>
 */
public final class ReplicaMap {
    private final int experts;
    private final int[][][] holdings;

    /** Creates a map; in every layer, each expert must be on at least one rank and at most once on the same rank. */
    public ReplicaMap(int experts, int[][][] holdings) {
        this.experts = (int) Checks.positive("experts", experts);
        this.holdings = copy(holdings);
        for (int[][] ranks : this.holdings) {
            boolean[] isHeld = new boolean[experts];
            for (int[] held : ranks) {
                Arrays.sort(held);
                long distinct = Arrays.stream(held).distinct().count();
                Checks.that(distinct == held.length, "experts of a rank", Arrays.toString(held), "distinct");
                for (int expert : held) {
                    Checks.inRange("expert", expert, 0, experts - 1);
                    isHeld[expert] = true;
                }
            }
            for (int expert = 0; expert < experts; expert++) {
                Checks.that(isHeld[expert], "expert " + expert, "on no rank", "on at least one rank");
            }
        }
    }

    /** Returns the number of layers. */
    public int layers() {
        return holdings.length;
    }

    /** Returns the number of ranks. */
    public int ranks() {
        return holdings.length == 0 ? 0 : holdings[0].length;
    }

    /** Returns the number of distinct experts per layer. */
    public int experts() {
        return experts;
    }

    /** Returns a copy of the experts that a rank holds in a layer, in ascending order. */
    public int[] held(int layer, int rank) {
        return holdings[layer][rank].clone();
    }

    /** Returns the number of experts that {@code rank} must copy to change to {@code next}, over all layers. */
    public int newExpertCount(ReplicaMap next, int rank) {
        int count = 0;
        for (int layer = 0; layer < holdings.length; layer++) {
            for (int expert : next.holdings[layer][rank]) {
                count += Arrays.binarySearch(holdings[layer][rank], expert) < 0 ? 1 : 0;
            }
        }
        return count;
    }

    /**
     * Returns the ratio of the slowest rank's time to the mean time at normal speed, averaged over all layers; 1 means
     * balanced.
     *
     * @param expertLoad {@code [layer][expert]}: how often each expert is chosen
     * @param rankSlowdown the factor by which the work of each rank takes longer than normal; 1 is normal
     */
    public double skew(double[][] expertLoad, double[] rankSlowdown) {
        double sum = 0;
        for (int layer = 0; layer < holdings.length; layer++) {
            sum += new LayerLoad(this, layer, expertLoad[layer], rankSlowdown).skew();
        }
        return holdings.length == 0 ? 1 : sum / holdings.length;
    }

    /** Returns the experts as lists, {@code [layer][rank]}. */
    public List<List<List<Integer>>> toLists() {
        List<List<List<Integer>>> layers = new ArrayList<>();
        for (int[][] ranks : holdings) {
            layers.add(Arrays.stream(ranks)
                    .map(held -> Arrays.stream(held).boxed().toList())
                    .toList());
        }
        return layers;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ReplicaMap map && Arrays.deepEquals(holdings, map.holdings);
    }

    @Override
    public int hashCode() {
        return Arrays.deepHashCode(holdings);
    }

    private static int[][][] copy(int[][][] source) {
        int[][][] result = new int[source.length][][];
        for (int layer = 0; layer < source.length; layer++) {
            result[layer] = Arrays.stream(source[layer]).map(int[]::clone).toArray(int[][]::new);
        }
        return result;
    }
}
