package org.jasminehub.core.experts.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;

/** Simulates a group of engines in lock step. Orders may stay unanswered and be carried out at once or later. */
final class SimulatedGroup {
    /** The actual state of one rank. */
    private static final class Rank {
        private long newest;
        private long map;
        private long prepared;
        private long armed;
        private long armedStep;
        private long held;
    }

    private record DelayedOrder(RankOrder order, long epoch, long dueTick) {}

    private final Random random;
    private final List<Rank> ranks = new ArrayList<>();
    private final List<DelayedOrder> delayed = new ArrayList<>();
    private long epoch = 1;
    private long step;
    private long tick;
    private long stalledTicks;

    SimulatedGroup(int size, Random random) {
        this.random = random;
        for (int rank = 0; rank < size; rank++) {
            ranks.add(new Rank());
        }
    }

    /** Carries out delayed orders and begins the next step unless it is held; fails if ranks use different maps. */
    void tick() {
        tick++;
        List<DelayedOrder> due =
                delayed.stream().filter(order -> order.dueTick() <= tick).toList();
        delayed.removeAll(due);
        due.forEach(order -> apply(order.order(), order.epoch()));
        long next = step + 1;
        if (ranks.stream().anyMatch(rank -> rank.held == next)) {
            stalledTicks++;
            return;
        }
        step = next;
        for (Rank rank : ranks) {
            if (rank.armed > 0 && rank.armedStep == step) {
                rank.map = rank.armed;
                rank.armed = 0;
                rank.armedStep = 0;
            }
        }
        long distinct = ranks.stream().map(rank -> rank.map).distinct().count();
        if (distinct > 1) {
            throw new AssertionError("step " + step + " begins on " + distinct + " maps");
        }
    }

    /** Begins a new epoch, as after the crash and restart of a rank. */
    void startEpoch() {
        epoch++;
        for (Rank rank : ranks) {
            rank.map = 0;
            rank.prepared = 0;
            rank.armed = 0;
            rank.armedStep = 0;
            rank.held = 0;
        }
    }

    /**
     * Sends an order.
     *
     * @param lossShare the probability that the order is not answered; half of these orders are carried out at once,
     *     the others later
     */
    void send(RankOrder order, long orderEpoch, double lossShare) {
        if (random.nextDouble() >= lossShare || random.nextBoolean()) {
            apply(order, orderEpoch);
        } else {
            delayed.add(new DelayedOrder(order, orderEpoch, tick + 20 + random.nextInt(100)));
        }
    }

    /** Returns the current states of the ranks. */
    List<RankView> views() {
        List<RankView> views = new ArrayList<>();
        for (int index = 0; index < ranks.size(); index++) {
            Rank rank = ranks.get(index);
            views.add(new RankView(
                    index, epoch, true, step, rank.map, rank.prepared, rank.armed, rank.armedStep, rank.held));
        }
        return views;
    }

    long mapInUse() {
        return ranks.get(0).map;
    }

    long epoch() {
        return epoch;
    }

    long stalledTicks() {
        return stalledTicks;
    }

    boolean isHeld() {
        return ranks.stream().anyMatch(rank -> rank.held > 0);
    }

    long newestVersion() {
        return ranks.stream().mapToLong(rank -> rank.newest).max().orElse(0);
    }

    private void apply(RankOrder order, long orderEpoch) {
        if (orderEpoch != epoch) {
            return;
        }
        Rank rank = Objects.requireNonNull(ranks.get(order.rank()));
        switch (order.kind()) {
            case PREPARE -> {
                if (order.version() > rank.newest && rank.armed == 0) {
                    rank.newest = order.version();
                    rank.prepared = order.version();
                }
            }
            case ARM -> {
                if (rank.prepared == order.version() && rank.map != order.version() && order.step() > step) {
                    rank.armed = order.version();
                    rank.armedStep = order.step();
                }
            }
            case DISARM -> {
                if (rank.armed == order.version()) {
                    rank.armed = 0;
                    rank.armedStep = 0;
                }
            }
            case HOLD -> {
                long target = order.step();
                if (rank.held == 0 && target > step) {
                    rank.held = target;
                }
            }
            case RELEASE -> {
                if (rank.held == order.step()) {
                    rank.held = 0;
                }
            }
            default -> throw new AssertionError(order.kind());
        }
    }
}
