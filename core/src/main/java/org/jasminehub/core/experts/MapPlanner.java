package org.jasminehub.core.experts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.jasminehub.core.document.ExpertRule;
import org.jspecify.annotations.Nullable;

/**
 * Plans moves whose gain over the planning horizon exceeds their cost, weighted by the team's document.
 *
 * <pre>{@code
 * MapPlan plan = MapPlanner.plan(map, load, document.experts(), limits);
 * }</pre>
 *
 * <p>For each layer, computes a chain of changes that each relieve the slowest rank, and splits it into parts with
 * decreasing gain per move. The parts of all layers are then selected by gain per move, as long as their gain exceeds
 * their cost and the move budget allows it.
 */
public final class MapPlanner {
    private static final int MAX_CHANGES_PER_LAYER = 32;

    private MapPlanner() {}

    /** Returns the plan for {@code map} under {@code load}; it contains no moves if none is worthwhile. */
    public static MapPlan plan(ExpertMap map, GroupLoad load, ExpertRule rule, PlanLimits limits) {
        PriorityQueue<LayerPart> parts = new PriorityQueue<>(
                Comparator.comparingDouble(LayerPart::gainPerMove).reversed().thenComparingInt(LayerPart::layer));
        List<LayerChain> chains = new ArrayList<>();
        for (int layer = 0; layer < map.layers(); layer++) {
            LayerChain chain = LayerChain.of(map, load, layer, MAX_CHANGES_PER_LAYER);
            chains.add(chain);
            addNext(parts, chain, 0);
        }
        PlanReason reason = parts.isEmpty() ? PlanReason.BALANCED : PlanReason.REPAID;
        int[][] slots = map.toSlots();
        int moves = 0;
        while (!parts.isEmpty()) {
            LayerPart part = parts.remove();
            if (!isRepaid(part, rule, limits)) {
                reason = moves == 0 ? PlanReason.NOT_REPAID : reason;
                break;
            }
            if (moves + part.moves() > limits.maxMoves()) {
                reason = PlanReason.BUDGET_SPENT;
                continue;
            }
            moves += part.moves();
            slots[part.layer()] = chains.get(part.layer()).slotsAfter(part.end());
            addNext(parts, chains.get(part.layer()), part.end());
        }
        ExpertMap planned = new ExpertMap(map.ranks(), map.slotsPerRank(), map.experts(), slots);
        return new MapPlan(planned, map.movesTo(planned), StepTime.of(map, load), StepTime.of(planned, load), reason);
    }

    private static void addNext(PriorityQueue<LayerPart> parts, LayerChain chain, int from) {
        @Nullable LayerPart part = chain.bestPart(from);
        if (part != null) {
            parts.add(part);
        }
    }

    private static boolean isRepaid(LayerPart part, ExpertRule rule, PlanLimits limits) {
        double gain = rule.skewWeight() * part.gainMillis() * limits.horizonSteps();
        double cost = rule.moveWeight() * part.moves() * limits.moveMillis();
        return gain > limits.hysteresis() * cost;
    }
}
