package org.jasminehub.gateway.experts;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.experts.placement.RankOrder;
import org.jasminehub.core.experts.placement.RankView;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.WholeCaller;
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
 * Sits beside one engine: tells coordinators what the engine reports, and passes their orders on to it.
 *
 * <p>It decides nothing and keeps nothing but what it last read. Used on its event loop only.
 */
final class RankAgent {
    /** The engine is on the same machine and its report costs it nothing. */
    private static final long REPORT_INTERVAL_MILLIS = 100;

    /** While a copy runs or a map is armed its end is awaited, since the whole change waits for the last rank. */
    private static final long CHANGING_INTERVAL_MILLIS = 30;

    /** A shift of demand is answered the sooner the sooner it shows; a pass of a loaded group takes about as long. */
    private static final long COUNTS_INTERVAL_MILLIS = 95;

    /** A status is sent at least this often, so that a coordinator knows the agent alive. */
    private static final long HEARTBEAT_MILLIS = 240;

    /** The engine answers in a few milliseconds. */
    private static final long READ_TIMEOUT_MILLIS = 150;

    /** The same for orders; a step may be held meanwhile, so one that got lost is given again soon. */
    private static final long ORDER_TIMEOUT_MILLIS = 60;

    private final EventLoop loop;
    private final Clock clock;
    private final WholeCaller engine;
    private final EventSink events;
    private final Map<RankMessenger, Boolean> watchers = new HashMap<>();
    private RankStatus status = RankStatus.getDefaultInstance();
    private RankStatus sent = status;
    private long sentMillis;
    private long countsMillis;
    private boolean isUnreadable;
    private boolean hasFreshCounts;
    private String holdingsKey = "";
    private long preparing;

    /** Creates an agent of the engine that {@code engine} calls. */
    RankAgent(EventLoop loop, Clock clock, WholeCaller engine, EventSink events) {
        this.loop = loop;
        this.clock = clock;
        this.engine = engine;
        this.events = events;
    }

    /** Starts to read the engine's reports. */
    void start() {
        tick();
    }

    private void tick() {
        if (!watchers.isEmpty()) {
            refresh();
        }
        boolean isChanging = status.getPreparedVersion() < preparing || status.getArmedVersion() > 0;
        long nextMillis = isChanging ? CHANGING_INTERVAL_MILLIS : REPORT_INTERVAL_MILLIS;
        loop.schedule(this::tick, nextMillis, TimeUnit.MILLISECONDS);
    }

    /** Reads the engine's report and passes it on. */
    CompletableFuture<Void> refresh() {
        return call(EngineAdapter.report())
                .thenAccept(answer -> onReport(EngineAdapter.decodeReport(answer.body())))
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
        if (view.epoch() != status.getEpoch()) {
            preparing = 0;
        }
        String key = view.epoch() + "/" + view.mapVersion() + "/" + report.startedWallMillis();
        if (!key.equals(holdingsKey)) {
            next.clearLayers();
            readHoldings(key);
        }
        status = next.build();
        if (watchers.containsValue(true) && nowMillis() - countsMillis >= COUNTS_INTERVAL_MILLIS) {
            countsMillis = nowMillis();
            readCounts();
        }
        push();
    }

    private void readHoldings(String key) {
        call(EngineAdapter.holdings()).thenAccept(answer -> {
            List<List<Integer>> layers = EngineAdapter.decodeHoldings(answer.body());
            if (EngineAdapter.decodeHoldingsVersion(answer.body()) != status.getMapVersion()) {
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
        call(EngineAdapter.counts()).thenAccept(answer -> {
            status = status.toBuilder()
                    .clearExpertCounts()
                    .addAllExpertCounts(EngineAdapter.decodeCounts(answer.body()))
                    .build();
            hasFreshCounts = true;
            push();
        });
    }

    private CompletableFuture<WholeCaller.Answer> call(EngineCall call) {
        return engine.call(call.method(), call.uri(), EngineCall.CONTENT_TYPE, call.body(), READ_TIMEOUT_MILLIS)
                .whenComplete((answer, failure) -> noteReadable(call, failure))
                .thenApply(answer -> {
                    if (answer.body().length == 0) {
                        throw new RecordRejectedException(call.uri(), "status " + answer.status(), "a body");
                    }
                    return answer;
                });
    }

    private void noteReadable(EngineCall call, @Nullable Throwable failure) {
        boolean was = isUnreadable;
        isUnreadable = failure != null;
        if (failure != null && !was) {
            events.emit(new ExpertEvent(
                    ExpertEventKind.ENGINE_UNREADABLE,
                    status.getGroup(),
                    status.getEpoch(),
                    0,
                    call.uri() + ": " + failure.getMessage()));
        }
    }

    /** Sends what is new to the watchers: counts only when they were read again, the rest when it changed. */
    private void push() {
        RankStatus plain = status.toBuilder().clearExpertCounts().build();
        boolean isSame = plain.toBuilder()
                .clearStep()
                .build()
                .equals(sent.toBuilder().clearStep().build());
        if (isSame && !hasFreshCounts && nowMillis() - sentMillis < HEARTBEAT_MILLIS) {
            return;
        }
        sentMillis = nowMillis();
        sent = plain;
        PeerEnvelope withCounts = PeerEnvelope.newBuilder()
                .setRankStatus(hasFreshCounts ? status : plain)
                .build();
        PeerEnvelope withoutCounts =
                PeerEnvelope.newBuilder().setRankStatus(plain).build();
        hasFreshCounts = false;
        watchers.forEach((watcher, wantsCounts) -> watcher.send(wantsCounts ? withCounts : withoutCounts));
    }

    /** Takes a message of a coordinator, which becomes a watcher with its first one. */
    void onMessage(RankMessenger coordinator, PeerEnvelope message) {
        if (message.hasRankWatch()) {
            boolean isNew = watchers.put(coordinator, message.getRankWatch().getWithCounts()) == null;
            if (isNew) {
                sent = RankStatus.getDefaultInstance();
                refresh();
            }
        } else if (message.hasRankOrderRequest()) {
            give(coordinator, message.getRankOrderRequest());
        }
    }

    /** Forgets a coordinator. */
    void onLost(RankMessenger coordinator) {
        watchers.remove(coordinator);
    }

    private void give(RankMessenger connection, RankOrderRequest request) {
        RankOrder order = new RankOrder(
                status.getRank(), RankOrders.kindOf(request.getKind()), request.getVersion(), request.getStep());
        if (order.kind() == RankOrder.Kind.PREPARE) {
            preparing = order.version();
        }
        EngineCall call = EngineAdapter.order(order, request.getEpoch(), RankOrders.mapOf(request));
        engine.call(call.method(), call.uri(), EngineCall.CONTENT_TYPE, call.body(), ORDER_TIMEOUT_MILLIS)
                .handle((answer, failure) -> failure == null ? answer.status() : 0)
                .thenAccept(code -> {
                    if (order.kind() == RankOrder.Kind.HOLD) {
                        // All other ranks must be armed before the step is due: the reply does not wait for a report.
                        reply(connection, request, code);
                        return;
                    }
                    refresh().thenRun(() -> {
                        sent = RankStatus.getDefaultInstance();
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
