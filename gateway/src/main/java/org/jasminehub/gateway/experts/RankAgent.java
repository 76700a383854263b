package org.jasminehub.gateway.experts;

import io.netty.channel.EventLoop;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.experts.placement.RankOrder;
import org.jasminehub.core.experts.placement.RankView;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.BufferedHttpClient;
import org.jasminehub.platform.hosted.EngineAdapter;
import org.jasminehub.platform.hosted.EngineCall;
import org.jasminehub.platform.hosted.EngineReport;
import org.jasminehub.platform.hosted.RecordRejectedException;
import org.jasminehub.wire.generated.LayerExperts;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.RankOrderReply;
import org.jasminehub.wire.generated.RankOrderRequest;
import org.jasminehub.wire.generated.RankStatus;
import org.jspecify.annotations.Nullable;

/**
 * Forwards the reports of one engine to coordinators, and their orders to the engine.
 *
 * <p>It makes no decisions and stores only what it last read from the engine. Used on its event loop only.
 */
final class RankAgent {
    /** Short, because the engine is on the same machine and its report costs it nothing. */
    private static final long REPORT_INTERVAL_MILLIS = 100;

    /** Interval while a copy runs or a map is armed; shorter because all ranks wait for the last one. */
    private static final long CHANGING_INTERVAL_MILLIS = 30;

    /** Short, so that a shift of demand is detected early; a pass of a loaded group takes about this long. */
    private static final long COUNTS_INTERVAL_MILLIS = 95;

    /** Maximum time between two statuses; coordinators detect a silent agent by it. */
    private static final long HEARTBEAT_MILLIS = 240;

    /** Long compared with the few milliseconds in which the engine normally answers. */
    private static final long READ_TIMEOUT_MILLIS = 150;

    /** Shorter than for reads, because a step may be held meanwhile and a lost order must be sent again soon. */
    private static final long ORDER_TIMEOUT_MILLIS = 60;

    private final EventLoop loop;
    private final Clock clock;
    private final BufferedHttpClient engine;
    private final EventSink events;
    private final Map<RankMessenger, Boolean> watchers = new HashMap<>();
    private final ExpertCountDeltas counts = new ExpertCountDeltas();
    private RankStatus status = RankStatus.getDefaultInstance();
    private RankStatus lastSent = status;
    private long lastSentMillis;
    private long lastCountsMillis;
    private long requestedCountsMillis;
    private boolean isUnreadable;
    private boolean hasFreshCounts;
    private String holdingsKey = "";
    private long preparingVersion;

    /** Creates an agent of the engine that {@code engine} is connected to. */
    RankAgent(EventLoop loop, Clock clock, BufferedHttpClient engine, EventSink events) {
        this.loop = loop;
        this.clock = clock;
        this.engine = engine;
        this.events = events;
    }

    /** Starts reading the engine's reports periodically. */
    void start() {
        tick();
    }

    private void tick() {
        if (!watchers.isEmpty()) {
            refresh();
        }
        boolean isChanging = status.getPreparedVersion() < preparingVersion || status.getArmedVersion() > 0;
        long nextMillis = isChanging ? CHANGING_INTERVAL_MILLIS : REPORT_INTERVAL_MILLIS;
        loop.schedule(this::tick, nextMillis, TimeUnit.MILLISECONDS);
    }

    /** Reads the engine's report and sends it to the watchers; never completes exceptionally. */
    CompletableFuture<Void> refresh() {
        return call(EngineAdapter.report())
                .thenAccept(response -> onReport(EngineAdapter.decodeReport(response.body())))
                .handle((done, failure) -> null);
    }

    private void onReport(EngineReport report) {
        RankView view = report.view();
        RankStatus.Builder next = status.toBuilder()
                .setGroup(report.group())
                .setGroupSize(report.groupSize())
                .setRank(view.rank())
                .setStartedWallMillis(report.startedWallMillis())
                .setEpoch(view.epoch())
                .setIsOpen(view.isOpen())
                .setStep(view.step())
                .setMapVersion(view.mapVersion())
                .setPreparedVersion(view.preparedVersion())
                .setArmedVersion(view.armedVersion())
                .setArmedStep(view.armedStep())
                .setHeldStep(view.heldStep())
                .setRunning(report.running())
                .setWaiting(report.waiting())
                .setPace(report.pace());
        if (view.epoch() != status.getEpoch() || report.startedWallMillis() != status.getStartedWallMillis()) {
            preparingVersion = 0;
            counts.clear();
        }
        String key = view.epoch() + "/" + view.mapVersion() + "/" + report.startedWallMillis();
        if (!key.equals(holdingsKey)) {
            next.clearLayers();
            readHoldings(key);
        }
        status = next.build();
        if (watchers.containsValue(true)
                && nowMillis() - lastCountsMillis >= Math.max(COUNTS_INTERVAL_MILLIS, requestedCountsMillis)) {
            lastCountsMillis = nowMillis();
            readCounts();
        }
        push();
    }

    private void readHoldings(String key) {
        call(EngineAdapter.holdings()).thenAccept(response -> {
            List<List<Integer>> layers = EngineAdapter.decodeHoldings(response.body());
            if (EngineAdapter.decodeHoldingsVersion(response.body()) != status.getMapVersion()) {
                return;
            }
            RankStatus.Builder next = status.toBuilder().clearLayers();
            layers.forEach(held -> next.addLayers(LayerExperts.newBuilder().addAllExperts(held)));
            status = next.build();
            holdingsKey = key;
            push();
        });
    }

    private void readCounts() {
        call(EngineAdapter.counts()).thenAccept(response -> {
            long[] increases = counts.update(EngineAdapter.decodeCounts(response.body()));
            if (increases == null || Arrays.stream(increases).allMatch(increase -> increase == 0)) {
                return;
            }
            RankStatus.Builder next = status.toBuilder().clearExpertIncrements();
            for (long increase : increases) {
                next.addExpertIncrements((int) Math.min(Integer.MAX_VALUE, increase));
            }
            status = next.build();
            hasFreshCounts = true;
            push();
        });
    }

    private CompletableFuture<BufferedHttpClient.Response> call(EngineCall call) {
        return engine.call(call.method(), call.uri(), EngineCall.CONTENT_TYPE, call.body(), READ_TIMEOUT_MILLIS)
                .whenComplete((response, failure) -> updateReadability(call, failure))
                .thenApply(response -> {
                    if (response.body().length == 0) {
                        throw new RecordRejectedException(call.uri(), "status " + response.status(), "a body");
                    }
                    return response;
                });
    }

    private void updateReadability(EngineCall call, @Nullable Throwable failure) {
        boolean wasUnreadable = isUnreadable;
        isUnreadable = failure != null;
        if (failure != null && !wasUnreadable) {
            events.emit(new ExpertEvent(
                    ExpertEventKind.ENGINE_UNREADABLE,
                    status.getGroup(),
                    status.getEpoch(),
                    0,
                    call.uri() + ": " + failure.getMessage()));
        }
    }

    /** Sends the status if it changed or a heartbeat is due, with counts only if they were read again. */
    private void push() {
        RankStatus statusWithoutCounts =
                status.toBuilder().clearExpertIncrements().build();
        boolean isUnchanged = statusWithoutCounts.toBuilder()
                .clearStep()
                .build()
                .equals(lastSent.toBuilder().clearStep().build());
        if (isUnchanged && !hasFreshCounts && nowMillis() - lastSentMillis < HEARTBEAT_MILLIS) {
            return;
        }
        lastSentMillis = nowMillis();
        lastSent = statusWithoutCounts;
        PeerEnvelope withCounts = PeerEnvelope.newBuilder()
                .setRankStatus(hasFreshCounts ? status : statusWithoutCounts)
                .build();
        PeerEnvelope withoutCounts =
                PeerEnvelope.newBuilder().setRankStatus(statusWithoutCounts).build();
        hasFreshCounts = false;
        watchers.forEach((watcher, wantsCounts) -> watcher.send(wantsCounts ? withCounts : withoutCounts));
    }

    /** Handles a message of a coordinator; a watch message registers the coordinator as a watcher. */
    void onMessage(RankMessenger coordinator, PeerEnvelope message) {
        if (message.hasRankWatch()) {
            requestedCountsMillis = message.getRankWatch().getCountsIntervalMillis();
            boolean isNew = watchers.put(coordinator, message.getRankWatch().getWithCounts()) == null;
            if (isNew) {
                lastSent = RankStatus.getDefaultInstance();
                refresh();
            }
        } else if (message.hasRankOrderRequest()) {
            forwardOrder(coordinator, message.getRankOrderRequest());
        }
    }

    /** Removes a coordinator whose connection was closed. */
    void onDisconnected(RankMessenger coordinator) {
        watchers.remove(coordinator);
    }

    private void forwardOrder(RankMessenger connection, RankOrderRequest request) {
        RankOrder order = new RankOrder(
                status.getRank(),
                RankMessageConverter.kindOf(request.getKind()),
                request.getVersion(),
                request.getStep());
        if (order.kind() == RankOrder.Kind.PREPARE) {
            preparingVersion = order.version();
        }
        EngineCall call = EngineAdapter.order(order, request.getEpoch(), RankMessageConverter.mapOf(request));
        // On a pooled connection, an earlier response that is written once more could be taken for the reply to the
        // order.
        engine.callOnNewConnection(
                        call.method(), call.uri(), EngineCall.CONTENT_TYPE, call.body(), ORDER_TIMEOUT_MILLIS)
                .handle((response, failure) -> failure == null ? response.status() : 0)
                .thenAccept(code -> {
                    if (order.kind() == RankOrder.Kind.HOLD) {
                        // All other ranks must be armed before the step is due, so the reply is sent without a report.
                        reply(connection, request, code);
                        return;
                    }
                    refresh().thenRun(() -> {
                        lastSent = RankStatus.getDefaultInstance();
                        push();
                        reply(connection, request, code);
                    });
                });
    }

    private static void reply(RankMessenger connection, RankOrderRequest request, int code) {
        connection.send(PeerEnvelope.newBuilder()
                .setRankOrderReply(RankOrderReply.newBuilder()
                        .setOrderId(request.getOrderId())
                        .setStatus(code))
                .build());
    }

    private long nowMillis() {
        return clock.monotonicMillis();
    }
}
