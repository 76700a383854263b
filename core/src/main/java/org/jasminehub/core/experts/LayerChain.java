package org.jasminehub.core.experts;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** A sequence of changes of one layer; each change relieves the rank that is slowest after the previous change. */
final class LayerChain {
    private final int layer;
    private final List<int[]> slots = new ArrayList<>();
    private final List<Double> maxMillis = new ArrayList<>();
    private final List<Integer> moves = new ArrayList<>();

    private LayerChain(int layer) {
        this.layer = layer;
    }

    static LayerChain of(ExpertMap map, GroupLoad load, int layer, int maxChanges) {
        LayerBalance balance = new LayerBalance(map, load, layer);
        LayerChain chain = new LayerChain(layer);
        chain.add(balance, 0);
        SlotChange change = balance.bestChange();
        while (change != null && chain.slots.size() <= maxChanges) {
            balance.apply(change);
            chain.add(balance, change.moves());
            change = balance.bestChange();
        }
        return chain;
    }

    int[] slotsAfter(int changes) {
        return slots.get(changes);
    }

    /** Returns the part after the first {@code from} changes with the largest gain per move, or null if none gains. */
    @Nullable
    LayerPart bestPart(int from) {
        LayerPart best = null;
        for (int end = from + 1; end < slots.size(); end++) {
            double gain = maxMillis.get(from) - maxMillis.get(end);
            LayerPart part = new LayerPart(layer, end, moves.get(end) - moves.get(from), gain);
            if (gain > 0 && (best == null || part.gainPerMove() > best.gainPerMove())) {
                best = part;
            }
        }
        return best;
    }

    private void add(LayerBalance balance, int addedMoves) {
        int before = moves.isEmpty() ? 0 : moves.get(moves.size() - 1);
        slots.add(balance.slots());
        maxMillis.add(balance.maxMillis());
        moves.add(before + addedMoves);
    }
}
