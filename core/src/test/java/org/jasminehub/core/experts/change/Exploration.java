package org.jasminehub.core.experts.change;

import com.google.common.collect.Collections2;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Visits all reachable states of a modelled group, breadth first. States that differ only in the numbering of ranks
 * count as one.
 */
final class Exploration {
    private final GroupModel model;
    private final int maxStates;
    private final List<List<Integer>> orders;
    private final Map<Object, Integer> numbers = new HashMap<>();
    private final Map<RankNode, Integer> nodeNumbers = new IdentityHashMap<>();
    private final Set<Key> visited = new HashSet<>();

    Exploration(GroupModel model, int ranks, int maxStates) {
        this.orders = List.copyOf(
                Collections2.permutations(IntStream.range(0, ranks).boxed().toList()));
        this.model = model;
        this.maxStates = maxStates;
    }

    /** Visits states until all are visited, or until ranks run a step on different maps; returns that state. */
    Optional<GroupState> run(GroupState initial, Consumer<GroupState> visitor) {
        ArrayDeque<GroupState> frontier = new ArrayDeque<>();
        visited.add(key(initial));
        frontier.add(initial);
        while (!frontier.isEmpty() && visited.size() <= maxStates) {
            GroupState group = frontier.remove();
            visitor.accept(group);
            for (GroupState next : model.successors(group)) {
                if (next.hasMixedMaps()) {
                    return Optional.of(next);
                }
                if (visited.add(key(next))) {
                    frontier.add(next);
                }
            }
        }
        return Optional.empty();
    }

    int stateCount() {
        return visited.size();
    }

    boolean isComplete() {
        return visited.size() <= maxStates;
    }

    /**
     * Returns the smallest key of the state over all orders of its ranks that sort their node numbers in ascending
     * order.
     */
    private Key key(GroupState group) {
        int[] nodeNumbers = group.nodes().stream().mapToInt(this::numberOfNode).toArray();
        Key least = null;
        for (List<Integer> order : orders) {
            if (isSorted(nodeNumbers, order)) {
                Key key = key(group, nodeNumbers, order);
                least = least == null || Arrays.compare(key.parts, least.parts) < 0 ? key : least;
            }
        }
        return Objects.requireNonNull(least);
    }

    private static boolean isSorted(int[] numbers, List<Integer> order) {
        for (int i = 1; i < numbers.length; i++) {
            if (numbers[order.get(i - 1)] > numbers[order.get(i)]) {
                return false;
            }
        }
        return true;
    }

    private Key key(GroupState group, int[] nodeNumbers, List<Integer> order) {
        IntStream.Builder key = IntStream.builder();
        key.add((group.step() * 10 + group.restartsLeft()) * 10 + group.changesLeft());
        order.forEach(rank -> key.add(nodeNumbers[rank]));
        group.holders().forEach(holder -> key.add(number(permuted(holder, order))));
        key.add(number(permuted(group.log(), order)));
        key.add(number(permuted(group.appends(), order)));
        key.add(number(permuted(group.unread(), order)));
        return new Key(key.build().toArray());
    }

    private static ChangeState permuted(ChangeState state, List<Integer> order) {
        List<RankState> ranks = new ArrayList<>();
        order.forEach(rank -> ranks.add(state.ranks().get(rank)));
        MapRecord recorded = state.recorded();
        return new ChangeState(
                state.fencingNumber(),
                state.phase(),
                state.mapVersion(),
                state.nextVersion(),
                state.switchStep(),
                state.presentStep(),
                ranks,
                recorded == null ? null : permuted(recorded, order));
    }

    private static Set<MapRecord> permuted(Set<MapRecord> records, List<Integer> order) {
        return records.stream().map(record -> permuted(record, order)).collect(Collectors.toSet());
    }

    private static MapRecord permuted(MapRecord record, List<Integer> order) {
        if (record.incarnations().isEmpty()) {
            return record;
        }
        List<Long> incarnations = order.stream().map(record.incarnations()::get).toList();
        return new MapRecord(record.kind(), record.fencingNumber(), record.mapVersion(), incarnations);
    }

    private int numberOfNode(RankNode node) {
        return nodeNumbers.computeIfAbsent(node, absent -> nodeNumbers.size());
    }

    private int number(Object part) {
        return numbers.computeIfAbsent(part, absent -> numbers.size());
    }

    /** The numbers of the parts of a state. Two keys are equal exactly if the states are equal. */
    private static final class Key {
        private final int[] parts;

        Key(int[] parts) {
            this.parts = parts;
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Key key && Arrays.equals(parts, key.parts);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(parts);
        }
    }
}
