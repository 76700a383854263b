package org.jasminehub.gateway.experts;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.experts.placement.DemandWindow;
import org.jasminehub.core.experts.placement.MapChangePolicy;
import org.jasminehub.core.experts.placement.PlacementLimits;
import org.jasminehub.core.experts.placement.PlacementPlan;
import org.jasminehub.core.experts.placement.PlacementPlanner;
import org.jasminehub.core.experts.placement.RankOrder;
import org.jasminehub.core.experts.placement.RankView;
import org.jasminehub.core.experts.placement.ReplicaMap;
import org.jasminehub.core.serving.ExpertLayout;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.hosted.EngineAdapter;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.RankOrderReply;
import org.jasminehub.wire.generated.RankStatus;
import org.jspecify.annotations.Nullable;

/** One group's placement: plans a map, and gives the orders that bring the group to it. */
final class GroupPlacement {
    /** A status older than a few heartbeats of its agent decides nothing. */
    private static final long FRESH_MILLIS = 700;

    /** Two heartbeats of an agent: after that another way to the rank is worth its price, if a change is open. */
    private static final long SILENT_MILLIS = 500;

    /** An order that was not answered in this time is given again; agents give up on the engine before. */
    private static final long ORDER_RETRY_MILLIS = 260;

    /** A change that is not prepared by then is planned anew. */
    private static final long CHANGE_TIMEOUT_MILLIS = 5_000;

    /** Copies run one after the other on a rank; one or two fit between two changes of what is in demand. */
    private static final int COPIES_PER_RANK = 1;

    /** By how much a copy must bring the most loaded rank down, in parts of the mean, to be worth its transfer. */
    private static final double MIN_GAIN_PER_COPY = 0.012;

    /** By how much a whole change must, since passes are longer while copies run. */
    private static final double MIN_GAIN = 0.2;

    /** Choices in the window below which an expert's share is more chance than demand, for each expert. */
    private static final double MIN_CHOICES_PER_EXPERT = 12;

    /** Versions of different coordinators must differ: the low bits are drawn at random. */
    private static final int RANDOM_BITS = 12;

    private final String name;
    private final Clock clock;
    private final EventSink events;
    private final Supplier<ExpertLayout> layout;
    private final DirectOrders direct;
    private final HoldMargin margin;
    private final Map<Integer, RankSeat> seats = new TreeMap<>();
    private @Nullable DemandWindow demand;
    private long nextOrderId = 1;
    private long wantedVersion;
    private @Nullable ReplicaMap wantedMap;
    private long wantedMillis;
    private long wantedEpoch;
    private long baseVersion;
    private long mapInUse = -1;
    private long lastPlanned = -1;
    private long lastStep = -1;
    private long lastStepMillis;

    /** Creates a placement of the group {@code name}, of which nothing is known yet. */
    GroupPlacement(String name, Clock clock, EventSink events, Supplier<ExpertLayout> layout, DirectOrders direct) {
        this.direct = direct;
        this.name = name;
        this.clock = clock;
        this.events = events;
        this.layout = layout;
        this.margin = new HoldMargin(clock);
    }

    /** Finds a way to a rank's engine without its agent, null where none is known. */
    @FunctionalInterface
    interface DirectOrders {
        @Nullable
        RankMessenger to(GroupPlacement group, int rank);
    }

    String name() {
        return name;
    }

    void onStatus(RankMessenger connection, RankStatus status, boolean isDirect) {
        RankSeat seat = seats.computeIfAbsent(status.getRank(), RankSeat::new);
        long @Nullable [] chosen = seat.onStatus(connection, status, isDirect, clock.monotonicMillis());
        if (chosen != null) {
            noteDemand(chosen);
        }
        advance();
    }

    private void noteDemand(long[] chosen) {
        ExpertLayout experts = layout.get();
        if (!experts.isPlaceable() || chosen.length != experts.layers() * experts.experts()) {
            return;
        }
        if (demand == null || demand.size() != chosen.length) {
            demand = new DemandWindow(experts.layers(), experts.experts(), clock.monotonicMillis());
        }
        demand.add(clock.monotonicMillis(), chosen);
    }

    void onReply(RankMessenger connection, RankOrderReply reply) {
        for (RankSeat seat : seats.values()) {
            @Nullable RankOrder order = seat.takeOrder(connection, reply.getOrderId());
            if (order == null) {
                continue;
            }
            if (!EngineAdapter.isTaken(reply.getStatus())) {
                events.emit(new ExpertEvent(
                        ExpertEventKind.ORDER_FAILED,
                        name,
                        wantedEpoch,
                        order.version(),
                        order.kind() + " to rank " + order.rank() + ": status " + reply.getStatus()));
                boolean isRefused = reply.getStatus() > 0;
                if (isRefused) {
                    seat.onRefused(clock.monotonicMillis());
                } else {
                    margin.onOrderLost();
                }
                if (order.kind() == RankOrder.Kind.HOLD) {
                    margin.onHoldFailed();
                }
                if (isRefused && order.kind() == RankOrder.Kind.PREPARE && order.version() == wantedVersion) {
                    wantedVersion = 0;
                }
            } else if (order.kind() == RankOrder.Kind.PREPARE) {
                seat.onPrepareTaken(order.version());
            } else if (order.kind() == RankOrder.Kind.HOLD) {
                seat.onHoldTaken(order.step(), clock.monotonicMillis());
            } else if (order.kind() == RankOrder.Kind.RELEASE) {
                seat.onReleaseTaken();
            }
            advance();
        }
    }

    /**
     * Returns the ranks that nobody speaks for although the group is in the middle of a change, which must not stay
     * there: a step that is held stops the whole group.
     */
    List<Integer> orphanedRanks() {
        long fromMillis = clock.monotonicMillis() - SILENT_MILLIS;
        List<RankSeat> fresh = seats.values().stream()
                .filter(seat -> seat.heardMillis() >= fromMillis)
                .toList();
        boolean isInChange = seats.values().stream().anyMatch(RankSeat::isInChange) || isStalled(fresh);
        int size = fresh.stream()
                .mapToInt(seat -> seat.status().getGroupSize())
                .max()
                .orElse(0);
        if (!isInChange) {
            return List.of();
        }
        List<Integer> heard = fresh.stream().map(RankSeat::rank).toList();
        return IntStream.range(0, size)
                .boxed()
                .filter(rank -> !heard.contains(rank))
                .toList();
    }

    /** A group that has work and begins no step may be held at a rank that cannot be heard. */
    private boolean isStalled(List<RankSeat> fresh) {
        long step =
                fresh.stream().mapToLong(seat -> seat.status().getStep()).max().orElse(0);
        boolean hasWork = fresh.stream().anyMatch(seat -> seat.status().getRunning() > 0);
        if (step != lastStep || !hasWork) {
            lastStep = step;
            lastStepMillis = clock.monotonicMillis();
        }
        return clock.monotonicMillis() - lastStepMillis >= SILENT_MILLIS;
    }

    /** Returns how slow each rank says it is, 1 where it says nothing, by rank. */
    Map<Integer, Double> paces() {
        Map<Integer, Double> paces = new TreeMap<>();
        seats.values()
                .forEach(
                        seat -> paces.put(seat.rank(), Math.max(1, seat.status().getPace())));
        return paces;
    }

    /** Gives the orders that are due, or plans a change where none runs. */
    void advance() {
        List<RankView> views = freshViews();
        if (views.isEmpty()) {
            return;
        }
        long epoch = views.get(0).epoch();
        noteMapInUse(views, epoch);
        boolean isOutdated = epoch != wantedEpoch
                || views.stream().anyMatch(view -> view.mapVersion() != baseVersion)
                || clock.monotonicMillis() - wantedMillis > CHANGE_TIMEOUT_MILLIS
                || isOvertaken(views);
        if (wantedVersion > 0 && isOutdated) {
            wantedVersion = 0;
        }
        List<RankOrder> orders = MapChangePolicy.nextOrders(views, wantedVersion, margin.steps());
        if (orders.isEmpty() && wantedVersion == 0 && isSettled(views)) {
            plan(views, epoch);
            orders = MapChangePolicy.nextOrders(views, wantedVersion, margin.steps());
        }
        for (RankOrder order : orders) {
            give(order, epoch);
        }
    }

    /** What is being copied answers a demand that has passed; copies for the present one cannot begin too soon. */
    private boolean isOvertaken(List<RankView> views) {
        DemandWindow window = demand;
        return window != null
                && window.isSettled()
                && window.lastShiftMillis() > wantedMillis
                && !MapChangePolicy.hasHeldStep(views);
    }

    private void noteMapInUse(List<RankView> views, long epoch) {
        long version = views.get(0).mapVersion();
        boolean isUniform = views.stream().allMatch(view -> view.mapVersion() == version);
        if (isUniform && version != mapInUse) {
            mapInUse = version;
            margin.reset();
            events.emit(new ExpertEvent(
                    ExpertEventKind.MAP_IN_USE,
                    name,
                    epoch,
                    version,
                    version == lastPlanned
                            ? "after " + (clock.monotonicMillis() - wantedMillis) + " ms"
                            : "not planned here"));
        }
    }

    private static boolean isSettled(List<RankView> views) {
        return views.stream()
                .allMatch(view -> view.mapVersion() == views.get(0).mapVersion() && view.armedVersion() == 0);
    }

    private List<RankView> freshViews() {
        List<RankView> views = new ArrayList<>();
        long fromMillis = clock.monotonicMillis() - FRESH_MILLIS;
        int size = 0;
        for (RankSeat seat : seats.values()) {
            if (seat.heardMillis() < fromMillis) {
                return List.of();
            }
            size = Math.max(size, seat.status().getGroupSize());
            views.add(seat.view(clock.monotonicMillis()));
        }
        long epoch = views.isEmpty() ? 0 : views.get(0).epoch();
        boolean isWhole = size > 0
                && views.size() == size
                && views.stream().allMatch(view -> view.epoch() == epoch && view.isOpen());
        return isWhole ? views : List.of();
    }

    private void give(RankOrder order, long epoch) {
        RankSeat seat = seats.get(order.rank());
        if (seat == null || !seat.mayOrder(order, clock.monotonicMillis(), ORDER_RETRY_MILLIS)) {
            return;
        }
        ReplicaMap map = wantedMap;
        List<List<List<Integer>>> lists =
                order.kind() == RankOrder.Kind.PREPARE && map != null ? map.toLists() : List.of();
        long id = nextOrderId++;
        // The agent's machine may freeze right after it has given an order, and its engine cannot be reached then. An
        // engine that holds a step must stay in reach, so this order is given from here.
        RankMessenger via = order.kind() == RankOrder.Kind.HOLD ? direct.to(this, order.rank()) : null;
        seat.send(
                order,
                id,
                clock.monotonicMillis(),
                PeerEnvelope.newBuilder()
                        .setRankOrderRequest(RankOrders.request(id, order, epoch, lists))
                        .build(),
                via);
    }

    private void plan(List<RankView> views, long epoch) {
        ExpertLayout experts = layout.get();
        @Nullable ReplicaMap current = currentMap(experts);
        if (current == null) {
            return;
        }
        if (MapChangePolicy.hasHeldStep(views)) {
            want(current, views, epoch, "releases a step that was held for a change that was given up");
            return;
        }
        DemandWindow window = demand;
        if (window == null || !window.isSettled()) {
            return;
        }
        double[][] load = window.choices();
        double choices = Arrays.stream(load).flatMapToDouble(Arrays::stream).sum();
        if (choices < MIN_CHOICES_PER_EXPERT * experts.layers() * experts.experts()) {
            return;
        }
        double[] paces =
                paces().values().stream().mapToDouble(Double::doubleValue).toArray();
        PlacementPlan plan = PlacementPlanner.plan(
                current,
                load,
                paces,
                new PlacementLimits(
                        experts.placesPerRank(), experts.sparePlaces(), COPIES_PER_RANK, MIN_GAIN_PER_COPY));
        if (plan.skewBefore() - plan.skewAfter() < MIN_GAIN) {
            return;
        }
        want(
                plan.map(),
                views,
                epoch,
                String.format(
                        Locale.ROOT,
                        "%d copies, skew %.2f to %.2f, %.0f choices",
                        plan.copies(),
                        plan.skewBefore(),
                        plan.skewAfter(),
                        choices));
    }

    private void want(ReplicaMap map, List<RankView> views, long epoch, String reason) {
        long newest = 0;
        for (RankView view : views) {
            newest = Math.max(
                    newest, Math.max(view.mapVersion(), Math.max(view.preparedVersion(), view.armedVersion())));
        }
        newest = Math.max(
                newest,
                seats.values().stream()
                        .mapToLong(RankSeat::newestPrepared)
                        .max()
                        .orElse(0));
        long random = ThreadLocalRandom.current().nextLong(1L << RANDOM_BITS);
        wantedVersion = ((newest >> RANDOM_BITS) + 1 << RANDOM_BITS) + random;
        lastPlanned = wantedVersion;
        wantedMap = map;
        wantedMillis = clock.monotonicMillis();
        wantedEpoch = epoch;
        baseVersion = views.get(0).mapVersion();
        events.emit(new ExpertEvent(ExpertEventKind.MAP_PLANNED, name, epoch, wantedVersion, reason));
    }

    private @Nullable ReplicaMap currentMap(ExpertLayout experts) {
        int[][][] holdings = new int[experts.layers()][seats.size()][];
        for (RankSeat seat : seats.values()) {
            if (seat.status().getLayersCount() != experts.layers()) {
                return null;
            }
            for (int layer = 0; layer < experts.layers(); layer++) {
                holdings[layer][seat.rank()] = seat.status().getLayers(layer).getExpertsList().stream()
                        .mapToInt(Integer::intValue)
                        .toArray();
            }
        }
        return new ReplicaMap(experts.experts(), holdings);
    }
}
