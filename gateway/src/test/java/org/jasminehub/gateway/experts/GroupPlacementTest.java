package org.jasminehub.gateway.experts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.jasminehub.core.serving.ExpertLayout;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.gateway.control.DelayedRunner;
import org.jasminehub.wire.generated.LayerExperts;
import org.jasminehub.wire.generated.RankOrderKind;
import org.jasminehub.wire.generated.RankOrderReply;
import org.jasminehub.wire.generated.RankOrderRequest;
import org.jasminehub.wire.generated.RankStatus;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks the orders that a group's placement sends in response to scripted reports and replies. */
final class GroupPlacementTest {
    private static final int SIZE = 2;
    private static final long STEP = 100;
    private static final long PREPARED = 4096;
    private static final int OK = 200;
    private static final int REFUSED = 409;
    private static final int NO_ANSWER = 0;
    private static final ExpertLayout LAYOUT = new ExpertLayout(1, 2, 2, 1, 1, 0.85);

    private final ManualClock clock = new ManualClock(1_000_000);
    private final List<Runnable> scheduled = new ArrayList<>();
    private final DelayedRunner timer = (delayMillis, action) -> scheduled.add(action);
    private final List<RankOrderRequest> direct = new ArrayList<>();
    private final List<List<RankOrderRequest>> viaAgent = List.of(new ArrayList<>(), new ArrayList<>());
    private final List<RankMessenger> agents =
            List.of(recordingMessenger(viaAgent.get(0)), recordingMessenger(viaAgent.get(1)));
    private final RankMessenger directMessenger = recordingMessenger(direct);
    private GroupPlacement placement;

    private static RankMessenger recordingMessenger(List<RankOrderRequest> orders) {
        return message -> orders.add(message.getRankOrderRequest());
    }

    private static RankStatus.Builder status(int rank) {
        return RankStatus.newBuilder()
                .setGroup("g")
                .setGroupSize(SIZE)
                .setRank(rank)
                .setEpoch(1)
                .setIsOpen(true)
                .setStep(STEP)
                .setPreparedVersion(PREPARED)
                .addLayers(LayerExperts.newBuilder().addExperts(rank % SIZE));
    }

    private static List<RankOrderKind> kinds(List<RankOrderRequest> orders) {
        return orders.stream().map(RankOrderRequest::getKind).toList();
    }

    private void reply(RankMessenger from, RankOrderRequest order, int status) {
        placement.onReply(
                from,
                RankOrderReply.newBuilder()
                        .setOrderId(order.getOrderId())
                        .setStatus(status)
                        .build());
    }

    @BeforeEach
    void reportAllRanksPrepared() {
        placement = new GroupPlacement("g", clock, timer, event -> {}, () -> LAYOUT, (group, rank) -> directMessenger);
        for (int rank = 0; rank < SIZE; rank++) {
            placement.onStatus(agents.get(rank), status(rank).build(), false);
        }
    }

    /** A group whose ranks report more often than all of them can be evaluated. */
    @Nested
    final class LargeGroup {
        private static final int LARGE_SIZE = 64;

        @Test
        void testReportsThatArriveTogetherAreEvaluatedOnce() {
            AtomicInteger layoutReads = new AtomicInteger();
            GroupPlacement large = new GroupPlacement(
                    "g",
                    clock,
                    timer,
                    event -> {},
                    () -> {
                        layoutReads.incrementAndGet();
                        return LAYOUT;
                    },
                    (group, rank) -> directMessenger);
            scheduled.clear();
            for (int round = 0; round < 3; round++) {
                for (int rank = 0; rank < LARGE_SIZE; rank++) {
                    large.onStatus(
                            agents.get(0),
                            status(rank)
                                    .setGroupSize(LARGE_SIZE)
                                    .setPreparedVersion(0)
                                    .build(),
                            false);
                }
            }
            // The layout is read once for each plan that is considered.
            assertEquals(0, layoutReads.get());
            assertEquals(1, scheduled.size());
            clock.advanceMillis(LARGE_SIZE / 4);
            scheduled.get(0).run();

            assertEquals(1, layoutReads.get());
        }
    }

    @Nested
    final class AfterAnAcceptedHold {
        @BeforeEach
        void acceptHold() {
            assertEquals(List.of(RankOrderKind.RANK_HOLD), kinds(direct));
            clock.advanceMillis(5);
            reply(directMessenger, direct.get(0), OK);
        }

        @Test
        void testEveryRankIsArmedBeforeTheNextReport() {
            for (List<RankOrderRequest> orders : viaAgent) {
                assertEquals(List.of(RankOrderKind.RANK_ARM), kinds(orders));
                assertEquals(direct.get(0).getStep(), orders.get(0).getStep());
            }
        }

        @Test
        void testAnOutdatedDirectReportDoesNotHoldAnotherStep() {
            clock.advanceMillis(5);
            placement.onStatus(directMessenger, status(0).build(), true);
            clock.advanceMillis(300);
            for (int rank = 0; rank < SIZE; rank++) {
                placement.onStatus(
                        agents.get(rank),
                        status(rank)
                                .setArmedVersion(PREPARED)
                                .setArmedStep(direct.get(0).getStep())
                                .setHeldStep(rank == 0 ? direct.get(0).getStep() : 0)
                                .build(),
                        false);
            }
            placement.onStatus(directMessenger, status(0).build(), true);

            assertEquals(List.of(RankOrderKind.RANK_HOLD), kinds(direct));
            assertEquals(List.of(RankOrderKind.RANK_ARM, RankOrderKind.RANK_RELEASE), kinds(viaAgent.get(0)));
        }

        @Test
        void testAHoldThatNoReportConfirmsIsRetried() {
            clock.advanceMillis(300);
            placement.onStatus(agents.get(0), status(0).build(), false);
            placement.onStatus(agents.get(1), status(1).build(), false);

            assertEquals(List.of(RankOrderKind.RANK_HOLD, RankOrderKind.RANK_HOLD), kinds(direct));
        }
    }

    @Nested
    final class WithLostOrders {
        @BeforeEach
        void acceptHold() {
            reply(directMessenger, direct.get(0), OK);
        }

        @Test
        void testAnArmWithoutAReplyIsResentAtOnce() {
            reply(agents.get(1), viaAgent.get(1).get(0), NO_ANSWER);

            assertEquals(List.of(RankOrderKind.RANK_ARM, RankOrderKind.RANK_ARM), kinds(viaAgent.get(1)));
        }

        @Test
        void testARefusedArmIsNotResentAtOnce() {
            reply(agents.get(1), viaAgent.get(1).get(0), REFUSED);

            assertEquals(List.of(RankOrderKind.RANK_ARM), kinds(viaAgent.get(1)));
        }

        @Test
        void testTheNextStepIsHeldFartherAhead() {
            reply(agents.get(1), viaAgent.get(1).get(0), NO_ANSWER);
            clock.advanceMillis(300);
            for (int rank = 0; rank < SIZE; rank++) {
                placement.onStatus(agents.get(rank), status(rank).build(), false);
            }

            assertTrue(direct.get(1).getStep() > direct.get(0).getStep());
        }
    }
}
