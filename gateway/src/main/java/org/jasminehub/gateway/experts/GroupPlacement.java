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
import org.jasminehub.core.experts.placement.CountSampling;
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
import org.jasminehub.gateway.control.DelayedRunner;
import org.jasminehub.platform.hosted.EngineAdapter;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.RankOrderReply;
import org.jasminehub.wire.generated.RankStatus;
import org.jspecify.annotations.Nullable;

/** Plans expert maps for one group and sends the orders that bring the group to a planned map. */
final class GroupPlacement {
    /** A status older than this, about three heartbeats of its agent, is not used for decisions. */
    private static final long FRESH_MILLIS = 700;

    /**
     * Time without a status, two heartbeats of an agent, after which a rank's engine is called directly if a change is
     * open.
     */
    private static final long AGENT_SILENT_MILLIS = 500;

    /** An order without a reply is sent again after this time, which is longer than an agent waits for its engine. */
    private static final long ORDER_RETRY_MILLIS = 260;

    /** A map that is not prepared on all ranks within this time is abandoned, and a new one is planned. */
    private static final long CHANGE_TIMEOUT_MILLIS = 5_000;

    /** Copies run one after the other on a rank, and only one or two fit between two shifts of demand. */
    private static final int COPIES_PER_RANK = 1;

    /** Minimum reduction of the load of the most loaded rank, in units of the mean load, that justifies one copy. */
    private static final double MIN_GAIN_PER_COPY = 0.012;

    /** The same minimum for a complete change; it is larger because passes take longer while copies run. */
    private static final double MIN_GAIN = 0.2;

    /** Minimum number of choices in the window for each expert; with fewer, the shares are mostly random. */
    private static final double MIN_CHOICES_PER_EXPERT = 12;

    /** Number of low bits of a version that are random, so that different coordinators choose different versions. */
    private static final int RANDOM_BITS = 12;

    private final String name;
    private final Clock clock;
    private final EvaluationThrottle throttle;
    private final EventSink events;
    private final Supplier<ExpertLayout> layout;
    private final DirectMessengerLookup directMessengers;
    private final HoldMargin margin;
    private final Map<Integer, TrackedRank> ranks = new TreeMap<>();
    private @Nullable DemandWindow demand;
    private long nextOrderId = 1;
    private long plannedVersion;
    private @Nullable ReplicaMap plannedMap;
    private long plannedMillis;
    private long plannedEpoch;
    private long baseVersion;
    private long versionInUse = -1;
    private long lastPlannedVersion = -1;
    private long lastStep = -1;
    private long lastStepMillis;
    private long consideredRoundMillis = Long.MIN_VALUE;

    /** Creates a placement of the group {@code name} that has no reports of the group yet. */
    GroupPlacement(
            String name,
            Clock clock,
            DelayedRunner timer,
            EventSink events,
            Supplier<ExpertLayout> layout,
            DirectMessengerLookup directMessengers) {
        this.directMessengers = directMessengers;
        this.name = name;
        this.clock = clock;
        this.throttle = new EvaluationThrottle(clock, timer, this::advance);
        this.events = events;
        this.layout = layout;
        this.margin = new HoldMargin(clock);
    }

    /** Returns a messenger that sends to a rank's engine without its agent, null if the engine is unknown. */
    @FunctionalInterface
    interface DirectMessengerLookup {
        @Nullable
        RankMessenger find(GroupPlacement group, int rank);
    }

    String name() {
        return name;
    }

    void onStatus(RankMessenger connection, RankStatus status, boolean isDirect) {
        TrackedRank rank = ranks.computeIfAbsent(status.getRank(), TrackedRank::new);
        long @Nullable [] chosen = rank.onStatus(connection, status, isDirect, clock.monotonicMillis());
        if (chosen != null) {
            recordDemand(chosen, status.getGroupSize());
        }
        throttle.onReport(status.getGroupSize());
    }

    private void recordDemand(long[] chosen, int groupSize) {
        ExpertLayout experts = layout.get();
        if (!experts.isPlaceable() || chosen.length != experts.layers() * experts.experts()) {
            return;
        }
        if (demand == null || demand.size() != chosen.length) {
            long reportMillis = CountSampling.intervalMillis(groupSize, experts.layers(), experts.experts());
            demand = new DemandWindow(experts.layers(), experts.experts(), reportMillis, clock.monotonicMillis());
        }
        demand.add(clock.monotonicMillis(), chosen);
    }

    void onReply(RankMessenger connection, RankOrderReply reply) {
        for (TrackedRank rank : ranks.values()) {
            @Nullable RankOrder order = rank.closeOrder(connection, reply.getOrderId());
            if (order == null) {
                continue;
            }
            if (!EngineAdapter.isAccepted(reply.getStatus())) {
                events.emit(new ExpertEvent(
                        ExpertEventKind.ORDER_FAILED,
                        name,
                        plannedEpoch,
                        order.version(),
                        order.kind() + " to rank " + order.rank() + ": status " + reply.getStatus()));
                boolean isRefused = reply.getStatus() > 0;
                if (isRefused) {
                    rank.onRefused(clock.monotonicMillis());
                } else {
                    margin.onOrderLost();
                }
                if (order.kind() == RankOrder.Kind.HOLD) {
                    margin.onHoldFailed();
                }
                if (isRefused && order.kind() == RankOrder.Kind.PREPARE && order.version() == plannedVersion) {
                    plannedVersion = 0;
                }
            } else if (order.kind() == RankOrder.Kind.PREPARE) {
                rank.onPrepareAccepted(order.version());
            } else if (order.kind() == RankOrder.Kind.HOLD) {
                rank.onHoldAccepted(order.step(), clock.monotonicMillis());
            } else if (order.kind() == RankOrder.Kind.RELEASE) {
                rank.onReleaseAccepted();
            }
            advance();
        }
    }

    /**
     * Returns the ranks without a recent status while the group is in the middle of a change, else none. Such a change
     * must be finished without their agents, because a held step stops all ranks of the group.
     */
    List<Integer> silentRanks() {
        long fromMillis = clock.monotonicMillis() - AGENT_SILENT_MILLIS;
        List<TrackedRank> fresh = ranks.values().stream()
                .filter(rank -> rank.lastStatusMillis() >= fromMillis)
                .toList();
        boolean isInChange = ranks.values().stream().anyMatch(TrackedRank::isInChange) || isStalled(fresh);
        int size = fresh.stream()
                .mapToInt(rank -> rank.status().getGroupSize())
                .max()
                .orElse(0);
        if (!isInChange) {
            return List.of();
        }
        List<Integer> freshRanks = fresh.stream().map(TrackedRank::rank).toList();
        return IntStream.range(0, size)
                .boxed()
                .filter(rank -> !freshRanks.contains(rank))
                .toList();
    }

    /** Returns whether the group has work but begins no step: a rank without a recent status may be holding one. */
    private boolean isStalled(List<TrackedRank> fresh) {
        long step =
                fresh.stream().mapToLong(rank -> rank.status().getStep()).max().orElse(0);
        boolean hasWork = fresh.stream().anyMatch(rank -> rank.status().getRunning() > 0);
        if (step != lastStep || !hasWork) {
            lastStep = step;
            lastStepMillis = clock.monotonicMillis();
        }
        return clock.monotonicMillis() - lastStepMillis >= AGENT_SILENT_MILLIS;
    }

    /** Returns the reported slowdown of each rank by rank number, 1 for a rank that reports none. */
    Map<Integer, Double> slowdowns() {
        Map<Integer, Double> slowdowns = new TreeMap<>();
        ranks.values()
                .forEach(rank ->
                        slowdowns.put(rank.rank(), Math.max(1, rank.status().getPace())));
        return slowdowns;
    }

    /** Sends the orders that are due, and plans a change if none is in progress. */
    void advance() {
        throttle.onEvaluated();
        List<RankView> views = freshViews();
        if (views.isEmpty()) {
            return;
        }
        long epoch = views.get(0).epoch();
        updateMapInUse(views, epoch);
        boolean isOutdated = epoch != plannedEpoch
                || views.stream().anyMatch(view -> view.mapVersion() != baseVersion)
                || clock.monotonicMillis() - plannedMillis > CHANGE_TIMEOUT_MILLIS
                || isPlanObsolete(views);
        if (plannedVersion > 0 && isOutdated) {
            plannedVersion = 0;
        }
        List<RankOrder> orders = MapChangePolicy.nextOrders(views, plannedVersion, margin.steps());
        if (orders.isEmpty() && plannedVersion == 0 && isSettled(views)) {
            plan(views, epoch);
            orders = MapChangePolicy.nextOrders(views, plannedVersion, margin.steps());
        }
        for (RankOrder order : orders) {
            sendOrder(order, epoch);
        }
    }

    /** Returns whether demand has shifted since the change was planned, so that a new plan is needed. */
    private boolean isPlanObsolete(List<RankView> views) {
        DemandWindow window = demand;
        return window != null
                && window.isSettled()
                && window.lastShiftMillis() > plannedMillis
                && !MapChangePolicy.hasHeldStep(views);
    }

    private void updateMapInUse(List<RankView> views, long epoch) {
        long version = views.get(0).mapVersion();
        boolean isUniform = views.stream().allMatch(view -> view.mapVersion() == version);
        if (isUniform && version != versionInUse) {
            versionInUse = version;
            margin.reset();
            events.emit(new ExpertEvent(
                    ExpertEventKind.MAP_IN_USE,
                    name,
                    epoch,
                    version,
                    version == lastPlannedVersion
                            ? "after " + (clock.monotonicMillis() - plannedMillis) + " ms"
                            : "not planned by this instance"));
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
        for (TrackedRank rank : ranks.values()) {
            if (rank.lastStatusMillis() < fromMillis) {
                return List.of();
            }
            size = Math.max(size, rank.status().getGroupSize());
            views.add(rank.view(clock.monotonicMillis()));
        }
        long epoch = views.isEmpty() ? 0 : views.get(0).epoch();
        boolean isComplete = size > 0
                && views.size() == size
                && views.stream().allMatch(view -> view.epoch() == epoch && view.isOpen());
        return isComplete ? views : List.of();
    }

    private void sendOrder(RankOrder order, long epoch) {
        TrackedRank rank = ranks.get(order.rank());
        if (rank == null || !rank.canSend(order, clock.monotonicMillis(), ORDER_RETRY_MILLIS)) {
            return;
        }
        ReplicaMap map = plannedMap;
        List<List<List<Integer>>> experts =
                order.kind() == RankOrder.Kind.PREPARE && map != null ? map.toLists() : List.of();
        long id = nextOrderId++;
        // The agent's machine may freeze right after the agent has forwarded an order; its engine is unreachable then.
        // An engine that holds a step must be reachable, so a hold order is sent to the engine directly.
        RankMessenger via = order.kind() == RankOrder.Kind.HOLD ? directMessengers.find(this, order.rank()) : null;
        rank.send(
                order,
                id,
                clock.monotonicMillis(),
                PeerEnvelope.newBuilder()
                        .setRankOrderRequest(RankMessageConverter.request(id, order, epoch, experts))
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
            startChange(current, views, epoch, "current map again, to release a step held for an abandoned change");
            return;
        }
        DemandWindow window = demand;
        // A plan takes a good part of a processor, so demand is considered once for each round of reports.
        if (window == null || !window.isSettled() || window.newestRoundMillis() == consideredRoundMillis) {
            return;
        }
        consideredRoundMillis = window.newestRoundMillis();
        double[][] load = window.choices();
        double choices = Arrays.stream(load).flatMapToDouble(Arrays::stream).sum();
        if (choices < MIN_CHOICES_PER_EXPERT * experts.layers() * experts.experts()) {
            return;
        }
        double[] slowdowns =
                slowdowns().values().stream().mapToDouble(Double::doubleValue).toArray();
        PlacementPlan plan = PlacementPlanner.plan(
                current,
                load,
                slowdowns,
                new PlacementLimits(
                        experts.placesPerRank(), experts.sparePlaces(), COPIES_PER_RANK, MIN_GAIN_PER_COPY));
        if (plan.skewBefore() - plan.skewAfter() < MIN_GAIN) {
            return;
        }
        startChange(
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

    private void startChange(ReplicaMap map, List<RankView> views, long epoch, String reason) {
        long newest = 0;
        for (RankView view : views) {
            newest = Math.max(
                    newest, Math.max(view.mapVersion(), Math.max(view.preparedVersion(), view.armedVersion())));
        }
        newest = Math.max(
                newest,
                ranks.values().stream()
                        .mapToLong(TrackedRank::acceptedPrepareVersion)
                        .max()
                        .orElse(0));
        long random = ThreadLocalRandom.current().nextLong(1L << RANDOM_BITS);
        plannedVersion = ((newest >> RANDOM_BITS) + 1 << RANDOM_BITS) + random;
        lastPlannedVersion = plannedVersion;
        plannedMap = map;
        plannedMillis = clock.monotonicMillis();
        plannedEpoch = epoch;
        baseVersion = views.get(0).mapVersion();
        events.emit(new ExpertEvent(ExpertEventKind.MAP_PLANNED, name, epoch, plannedVersion, reason));
    }

    private @Nullable ReplicaMap currentMap(ExpertLayout experts) {
        int[][][] holdings = new int[experts.layers()][ranks.size()][];
        for (TrackedRank rank : ranks.values()) {
            if (rank.status().getLayersCount() != experts.layers()) {
                return null;
            }
            for (int layer = 0; layer < experts.layers(); layer++) {
                holdings[layer][rank.rank()] = rank.status().getLayers(layer).getExpertsList().stream()
                        .mapToInt(Integer::intValue)
                        .toArray();
            }
        }
        return new ReplicaMap(experts.experts(), holdings);
    }
}
