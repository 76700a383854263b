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

/** Visits every state that a modelled group can reach, breadth first and up to the order of equal ranks. */
final class Exploration {
    private final GroupModel model;
    private final int maxStates;
    private final List<List<Integer>> orders;
    private final Map<Object, Integer> numbers = new HashMap<>();
    private final Map<Lane, Integer> laneNumbers = new IdentityHashMap<>();
    private final Set<Key> visited = new HashSet<>();

    Exploration(GroupModel model, int ranks, int maxStates) {
        this.orders = List.copyOf(
                Collections2.permutations(IntStream.range(0, ranks).boxed().toList()));
        this.model = model;
        this.maxStates = maxStates;
    }

    /** Visits states until all are visited or one is mixed; returns that one. */
    Optional<World> run(World initial, Consumer<World> visitor) {
        ArrayDeque<World> frontier = new ArrayDeque<>();
        visited.add(key(initial));
        frontier.add(initial);
        while (!frontier.isEmpty() && visited.size() <= maxStates) {
            World world = frontier.remove();
            visitor.accept(world);
            for (World next : model.successors(world)) {
                if (next.isMixed()) {
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

    /** Returns the least of the keys that the state has under the orders in which its ranks' numbers don't fall. */
    private Key key(World world) {
        int[] laneNumbers = world.lanes().stream().mapToInt(this::numberOfLane).toArray();
        Key least = null;
        for (List<Integer> order : orders) {
            if (isSorted(laneNumbers, order)) {
                Key key = key(world, laneNumbers, order);
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

    private Key key(World world, int[] laneNumbers, List<Integer> order) {
        IntStream.Builder key = IntStream.builder();
        key.add((world.step() * 10 + world.restartsLeft()) * 10 + world.changesLeft());
        order.forEach(rank -> key.add(laneNumbers[rank]));
        world.holders().forEach(holder -> key.add(number(permuted(holder, order))));
        key.add(number(permuted(world.log(), order)));
        key.add(number(permuted(world.appends(), order)));
        key.add(number(permuted(world.seen(), order)));
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

    private int numberOfLane(Lane lane) {
        return laneNumbers.computeIfAbsent(lane, absent -> laneNumbers.size());
    }

    private int number(Object part) {
        return numbers.computeIfAbsent(part, absent -> numbers.size());
    }

    /** Numbers of a state's parts; equal exactly for equal states. */
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
