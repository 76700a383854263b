package org.jasminehub.core.experts.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the orders of a map change, one by one and with several kinds of faults at once. */
final class MapChangePolicyTest {
    private static final int SIZE = 4;
    private static final long MARGIN = 2;

    private static RankView view(int rank, long map, long prepared, long armed, long armedStep, long held) {
        return new RankView(rank, 1, true, 10, map, prepared, armed, armedStep, held);
    }

    private static List<RankOrder> next(long wanted, RankView... views) {
        return MapChangePolicy.nextOrders(List.of(views), wanted, MARGIN);
    }

    /** Tests the orders that follow from given reports of the ranks. */
    @Nested
    final class OneDecision {
        @Test
        void testRanksWithoutMapPrepareIt() {
            List<RankOrder> orders = next(7, view(0, 0, 7, 0, 0, 0), view(1, 0, 0, 0, 0, 0));

            assertEquals(List.of(new RankOrder(1, RankOrder.Kind.PREPARE, 7, 0)), orders);
        }

        @Test
        void testStepIsHeldBeforeAnyRankArms() {
            List<RankOrder> orders = next(7, view(0, 0, 7, 0, 0, 0), view(1, 0, 7, 0, 0, 0));

            assertEquals(List.of(new RankOrder(0, RankOrder.Kind.HOLD, 0, 10 + MARGIN)), orders);
        }

        @Test
        void testAllRanksArmForTheHeldStep() {
            List<RankOrder> orders = next(7, view(0, 0, 7, 0, 0, 12), view(1, 0, 7, 0, 0, 0));

            assertEquals(
                    List.of(new RankOrder(0, RankOrder.Kind.ARM, 7, 12), new RankOrder(1, RankOrder.Kind.ARM, 7, 12)),
                    orders);
        }

        @Test
        void testStepStaysHeldWhileRankIsNotArmed() {
            List<RankOrder> orders = next(7, view(0, 0, 7, 7, 12, 12), view(1, 0, 7, 0, 0, 0));

            assertEquals(List.of(new RankOrder(1, RankOrder.Kind.ARM, 7, 12)), orders);
        }

        @Test
        void testStepIsReleasedOnceAllRanksAreArmed() {
            List<RankOrder> orders = next(7, view(0, 0, 7, 7, 12, 12), view(1, 0, 7, 7, 12, 0));

            assertEquals(List.of(new RankOrder(0, RankOrder.Kind.RELEASE, 0, 12)), orders);
        }

        @Test
        void testArmedMapIsDisarmedOnlyOnceNewerMapIsPrepared() {
            assertEquals(List.of(), next(0, view(0, 0, 7, 7, 12, 12), view(1, 0, 0, 0, 0, 0)));
            assertEquals(
                    List.of(new RankOrder(0, RankOrder.Kind.DISARM, 7, 0)),
                    next(0, view(0, 0, 7, 7, 12, 12), view(1, 0, 8, 0, 0, 0)));
        }

        @Test
        void testNoOrdersWhileRanksDisagreeOnEpoch() {
            RankView other = new RankView(1, 2, true, 10, 0, 7, 0, 0, 0);

            assertEquals(List.of(), next(7, view(0, 0, 7, 0, 0, 0), other));
        }
    }

    /** A coordinator that acts on possibly outdated views and may stop at any time. */
    private static final class Coordinator {
        private final SimulatedGroup group;
        private final Random random;
        private final int number;
        private List<RankView> knownViews = List.of();
        private long wanted;
        private long epoch;

        Coordinator(SimulatedGroup group, Random random, int number) {
            this.group = group;
            this.random = random;
            this.number = number;
        }

        void refreshViews() {
            List<RankView> now = group.views();
            List<RankView> next = new ArrayList<>();
            for (int rank = 0; rank < now.size(); rank++) {
                // The view of a rank may be as old as the previous refresh.
                boolean isOld = !knownViews.isEmpty() && random.nextInt(4) == 0;
                next.add(isOld ? knownViews.get(rank) : now.get(rank));
            }
            knownViews = next;
        }

        void act(double lossShare, boolean wantsChange) {
            if (knownViews.isEmpty()) {
                return;
            }
            long inUse = knownViews.get(0).mapVersion();
            if (epoch != knownViews.get(0).epoch() || wanted <= inUse || wanted < group.newestVersion()) {
                wanted = 0;
            }
            if (wanted == 0 && (wantsChange || MapChangePolicy.hasHeldStep(knownViews))) {
                epoch = knownViews.get(0).epoch();
                wanted = (group.newestVersion() / 8 + 1) * 8 + number;
            }
            for (RankOrder order : MapChangePolicy.nextOrders(knownViews, wanted, MARGIN)) {
                group.send(order, knownViews.get(0).epoch(), lossShare);
            }
        }
    }

    /** Tests lost, delayed and repeated orders, outdated views, two concurrent coordinators and new epochs. */
    @Nested
    final class WithFaults {
        @Test
        void testEveryStepRunsOnOneMapAndChangesComplete() {
            long changes = 0;
            for (int seed = 0; seed < 400; seed++) {
                changes += runWithFaults(seed);
            }
            assertTrue(changes > 1_000, "changes in all runs: " + changes);
        }

        private int runWithFaults(int seed) {
            Random random = new Random(seed);
            SimulatedGroup group = new SimulatedGroup(SIZE, random);
            List<Coordinator> coordinators =
                    List.of(new Coordinator(group, random, 1), new Coordinator(group, random, 2));
            int changes = 0;
            long map = 0;
            for (int tick = 0; tick < 1_500; tick++) {
                group.tick();
                if (group.mapInUse() != map) {
                    map = group.mapInUse();
                    changes++;
                }
                if (random.nextInt(500) == 0) {
                    group.startEpoch();
                }
                // The second coordinator is active only occasionally, with the views that it last obtained.
                int active = random.nextInt(20) == 0 ? 1 : 0;
                if (random.nextInt(3) > 0) {
                    coordinators.get(active).refreshViews();
                }
                coordinators.get(active).act(0.35, random.nextInt(10) == 0);
            }
            settle(group, coordinators.get(0), seed);
            return changes;
        }

        /** Checks that no step stays held once the faults have stopped. */
        private void settle(SimulatedGroup group, Coordinator coordinator, int seed) {
            for (int tick = 0; tick < 400; tick++) {
                group.tick();
                coordinator.refreshViews();
                coordinator.act(0, false);
            }
            assertFalse(group.isHeld(), "a step is still held, seed " + seed);
        }
    }
}
