package org.jasminehub.core.experts.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * Which experts each rank of a group holds, layer by layer; an expert may stand on several ranks, which share its
 * tokens evenly. Immutable.
 *
 * <pre>{@code
 * ReplicaMap map = new ReplicaMap(96, new int[][][] {{{0, 2}, {1, 0}}}); // [layer][rank] -> experts
 * }</pre>
 */
public final class ReplicaMap {
    private final int experts;
    private final int[][][] holdings;

    /** Creates a map; each expert must stand on at least one rank of every layer, and on a rank at most once. */
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

    /** Returns the number of experts in a layer. */
    public int experts() {
        return experts;
    }

    /** Returns a copy of the experts that a rank holds in a layer, in ascending order. */
    public int[] held(int layer, int rank) {
        return holdings[layer][rank].clone();
    }

    /** Returns how many experts of {@code next} are new to {@code rank}, over all layers. */
    public int newExperts(ReplicaMap next, int rank) {
        int count = 0;
        for (int layer = 0; layer < holdings.length; layer++) {
            for (int expert : next.holdings[layer][rank]) {
                count += Arrays.binarySearch(holdings[layer][rank], expert) < 0 ? 1 : 0;
            }
        }
        return count;
    }

    /**
     * Returns the time of the slowest rank over the mean time of ranks that are not slow, averaged over layers; 1 is
     * balanced.
     *
     * @param expertLoad {@code [layer][expert]}: how often each expert is chosen
     * @param rankPace how many times as long each rank's work takes, 1 for a rank that is not slow
     */
    public double skew(double[][] expertLoad, double[] rankPace) {
        double sum = 0;
        for (int layer = 0; layer < holdings.length; layer++) {
            sum += new LayerLoad(this, layer, expertLoad[layer], rankPace).skew();
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
