package org.jasminehub.core.overload;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays overload with the decisions of each instance for itself beside those with shared queues. */
final class SharedQueueReplayTest {
    private static final int SLOTS = 504;
    private static final double SECONDS = 9;

    /** A quarter of the share that a priority would get if all calls were equal. */
    private static final double GUARANTEED_SHARE = 0.25;

    /** Slot time that may stay empty while calls wait; the replays without shared queues have up to 1.3 %. */
    private static final double MAX_EMPTY_SHARE = 0.03;

    private record Comparison(ReplayResult alone, ReplayResult shared) {
        static Comparison of(ReplayLoad load, int instances, long seed) {
            return of(load, instances, SLOTS, SECONDS, seed);
        }

        static Comparison of(ReplayLoad load, int instances, int slots, double seconds, long seed) {
            Comparison result = new Comparison(
                    OverloadReplay.run(load, instances, slots, seconds, false, seed),
                    OverloadReplay.run(load, instances, slots, seconds, true, seed));
            System.out.println("load " + load + ", instances " + instances + ", seed " + seed + "\n" + result);
            return result;
        }

        @Override
        public String toString() {
            return "each for itself:\n" + alone + "shared queues:\n" + shared;
        }
    }

    @Nested
    final class Priorities {
        /**
         * Guards against slots that go to low priorities while calls of the highest miss their target elsewhere, and
         * against slots that stay empty because they are left to calls that do not take them.
         */
        @ParameterizedTest
        @EnumSource(names = {"CLASS_BURST", "BURST_OF_ALL", "HALVED_CAPACITY", "LOST_STATUS"})
        void testHighestPriorityIsServedInTimeMoreOften(ReplayLoad load) {
            Comparison result = Comparison.of(load, 48, 1);

            double alone = result.alone().priority(0).inTimeShare();
            double shared = result.shared().priority(0).inTimeShare();
            assertTrue(shared >= alone + 0.1, result::toString);
            assertTrue(result.shared().value() >= result.alone().value(), result::toString);
            assertTrue(result.shared().unusedShare() <= MAX_EMPTY_SHARE, result::toString);
            assertTrue(result.shared().refusedByEndpoints < result.alone().refusedByEndpoints, result::toString);
        }

        @Test
        void testHighestPriorityIsServedInTimeMoreOftenInALargeFleet() {
            Comparison result = Comparison.of(ReplayLoad.CLASS_BURST, 300, 3_150, 3.5, 1);

            assertTrue(
                    result.shared().priority(0).inTimeShare()
                            >= result.alone().priority(0).inTimeShare(),
                    result::toString);
            assertTrue(result.shared().value() >= result.alone().value(), result::toString);
            assertTrue(result.shared().unusedShare() <= MAX_EMPTY_SHARE, result::toString);
        }

        /** With few instances, each sees enough of the load to decide alone; sharing must not cost much there. */
        @ParameterizedTest
        @EnumSource(names = {"CLASS_BURST", "BURST_OF_ALL", "HALVED_CAPACITY", "LOST_STATUS"})
        void testSharingCostsLittleWithFewInstances(ReplayLoad load) {
            Comparison result = Comparison.of(load, 7, 1);

            assertTrue(result.shared().value() >= 0.92 * result.alone().value(), result::toString);
        }

        /** Guards against low priorities that get nothing while the highest alone exceeds the capacity. */
        @ParameterizedTest
        @ValueSource(ints = {7, 48})
        void testNoPriorityStarves(int instances) {
            Comparison result = Comparison.of(ReplayLoad.HIGH_CLASS_FLOOD, instances, 1);

            double all = result.shared().servedInBurst();
            assertTrue(result.shared().servedInBurst(1) >= GUARANTEED_SHARE * all, result::toString);
            assertTrue(result.shared().servedInBurst(2) >= GUARANTEED_SHARE * all, result::toString);
        }
    }

    @Nested
    final class Callers {
        /** Guards against a workspace that crowds out the others with half of all calls. */
        @ParameterizedTest
        @ValueSource(ints = {7, 48})
        void testSmallWorkspacesAreServedMoreOftenThanALargeOne(int instances) {
            Comparison result = Comparison.of(ReplayLoad.LARGE_WORKSPACE, instances, 1);

            double small = result.shared().of("workspace small").servedShare();
            double large = result.shared().of("workspace large").servedShare();
            assertTrue(small >= large + 0.08, result::toString);
            assertTrue(small >= result.alone().of("workspace small").servedShare() - 0.02, result::toString);
        }

        /**
         * Guards against callers that get slots in time by repeating every 10 ms. The lowest priority is left out: its
         * target is later than the earliest time that callers are told, see docs/design/shared-queues.md.
         */
        @ParameterizedTest
        @ValueSource(ints = {7, 48})
        void testCallersThatRepeatAtOnceAreNotServedInTimeMoreOften(int instances) {
            Comparison result = Comparison.of(ReplayLoad.IMPATIENT_CALLERS, instances, 1);

            for (int priority = 0; priority < 2; priority++) {
                double impatient = result.shared().of("impatient " + priority).inTimeShare();
                double patient = result.shared().of("patient " + priority).inTimeShare();
                assertTrue(impatient <= patient + 0.03, result::toString);
            }
        }
    }
}
