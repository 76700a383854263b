package org.jasminehub.core.experts;

import java.util.Arrays;
import org.jasminehub.core.internal.Checks;

/**
 * Assigns an expert to each slot of each rank, for every layer. Immutable and thread-safe.
 *
 * <pre>{@code
 * ExpertMap map = ExpertMap.striped(8, 9, 64, 60); // 8 ranks of 9 slots each: 8 spare slots per layer
 * int expert = map.expert(0, 17);                  // layer 0, slot 17, which belongs to rank 17 / 9
 * }</pre>
 */
public final class ExpertMap {
    private final int ranks;
    private final int slotsPerRank;
    private final int experts;
    private final int[][] slots;

    /** Creates a map from {@code slots[layer][slot]}; each layer must contain each expert at least once. */
    public ExpertMap(int ranks, int slotsPerRank, int experts, int[][] slots) {
        this.ranks = (int) Checks.positive("ranks", ranks);
        this.slotsPerRank = (int) Checks.positive("slotsPerRank", slotsPerRank);
        this.experts = (int) Checks.positive("experts", experts);
        this.slots = copy(slots);
        for (int[] layer : slots) {
            Checks.that(layer.length == ranks * slotsPerRank, "slots", layer.length, "ranks x slotsPerRank");
            long present = Arrays.stream(layer).distinct().count();
            Checks.that(present == experts, "experts in a layer", present, "" + experts);
        }
    }

    /**
     * Returns a map that assigns experts to ranks round-robin. Each further round over the experts starts one rank
     * later, so that the replicas of an expert are on different ranks.
     */
    public static ExpertMap striped(int ranks, int slotsPerRank, int experts, int layers) {
        int[][] slots = new int[layers][ranks * slotsPerRank];
        for (int[] layer : slots) {
            Arrays.setAll(layer, slot -> stripedExpert(slot / slotsPerRank, slot % slotsPerRank, ranks, experts));
        }
        return new ExpertMap(ranks, slotsPerRank, experts, slots);
    }

    private static int stripedExpert(int rank, int row, int ranks, int experts) {
        int turn = row * ranks / experts;
        return (row * ranks + (rank + turn) % ranks) % experts;
    }

    /** Returns the number of ranks. */
    public int ranks() {
        return ranks;
    }

    /** Returns the number of slots per rank in each layer. */
    public int slotsPerRank() {
        return slotsPerRank;
    }

    /** Returns the number of distinct experts per layer. */
    public int experts() {
        return experts;
    }

    /** Returns the number of layers. */
    public int layers() {
        return slots.length;
    }

    /** Returns the expert in {@code slot} of {@code layer}. */
    public int expert(int layer, int slot) {
        return slots[layer][slot];
    }

    /** Returns a copy of a layer's slots. */
    public int[] layer(int layer) {
        return slots[layer].clone();
    }

    /** Returns a copy of all slots. */
    public int[][] toSlots() {
        return copy(slots);
    }

    /** Returns the number of slots that must be loaded to change to {@code next}. */
    public int movesTo(ExpertMap next) {
        int moves = 0;
        for (int layer = 0; layer < slots.length; layer++) {
            for (int slot = 0; slot < slots[layer].length; slot++) {
                moves += slots[layer][slot] == next.slots[layer][slot] ? 0 : 1;
            }
        }
        return moves;
    }

    private static int[][] copy(int[][] slots) {
        return Arrays.stream(slots).map(int[]::clone).toArray(int[][]::new);
    }
}
