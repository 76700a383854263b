package org.jasminehub.core.ratelimit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the sum of the requests that a fleet sends to endpoints with limits, at several sizes and under faults. */
final class ExceededRateLimitModelTest {
    private static final long WINDOW_MILLIS = 4_000;
    private static final long STABILITY_MILLIS = 3_000;
    private static final double LIMIT_FACTOR = 1.5;
    private static final int SLACK_REQUESTS = 5;
    private static final int ENDPOINTS = 6;
    private static final double CALLS_PER_SECOND = 5;

    private static void assertWithinLimit(PermitFleet fleet, double limit, long fromMillis) {
        long most = fleet.maxRequests(fromMillis, fleet.nowMillis(), WINDOW_MILLIS);
        double allowed = LIMIT_FACTOR * limit * WINDOW_MILLIS / 1_000 + SLACK_REQUESTS;
        assertTrue(most <= allowed, most + " requests, " + allowed + " allowed");
    }

    /** A fleet without faults. */
    @Nested
    final class Undisturbed {
        @ParameterizedTest
        @CsvSource({"1,7,0", "2,7,0.3", "3,7,1.4", "4,7,4", "5,48,1.2", "6,48,12", "7,300,1.4", "8,300,40"})
        void testTheSumStaysWithinTheLimitAndUsesIt(long seed, int instances, double limit) {
            PermitFleet fleet = new PermitFleet(seed, instances, ENDPOINTS, limit, CALLS_PER_SECOND);

            fleet.run(20_000);

            assertWithinLimit(fleet, limit, STABILITY_MILLIS);
            double demand = instances * CALLS_PER_SECOND / ENDPOINTS;
            double usable = Math.min(limit, demand) * ENDPOINTS * 10;
            assertTrue(fleet.requests(10_000, 20_000) >= 0.6 * usable, fleet.requests(10_000, 20_000) + "/" + usable);
        }

        @ParameterizedTest
        @CsvSource({"1,7", "2,48", "3,300"})
        void testALoweredLimitAppliesToAll(long seed, int instances) {
            PermitFleet fleet = new PermitFleet(seed, instances, ENDPOINTS, 8, CALLS_PER_SECOND);
            fleet.run(8_000);

            fleet.setLimit(0.5);
            fleet.run(12_000);

            assertWithinLimit(fleet, 0.5, 8_000 + STABILITY_MILLIS);
        }
    }

    /** A fleet whose instances fail. */
    @Nested
    final class WithFaults {
        @ParameterizedTest
        @CsvSource({"1,7,1.4", "2,7,6", "3,7,0.5", "4,48,1.2", "5,48,15", "6,300,1.4", "7,300,30"})
        void testKilledAndFrozenInstancesDoNotRaiseTheSum(long seed, int instances, double limit) {
            PermitFleet fleet = new PermitFleet(seed, instances, ENDPOINTS, limit, CALLS_PER_SECOND);
            Random random = new Random(seed);
            fleet.run(4_000);
            for (int fault = 0; fault < 12; fault++) {
                int index = random.nextInt(instances);
                long millis = 300 + random.nextInt(4_000);
                if (random.nextBoolean()) {
                    fleet.kill(index, millis);
                } else {
                    fleet.freeze(index, millis);
                }
                fleet.run(random.nextInt(1_500));
            }
            fleet.run(5_000);

            assertWithinLimit(fleet, limit, STABILITY_MILLIS);
        }

        @ParameterizedTest
        @CsvSource({"1,7,1.4,3", "2,7,10,3", "3,7,10,1", "4,48,20,24", "5,300,20,100"})
        void testASplitFleetStaysWithinTheLimit(long seed, int instances, double limit, int splitAt) {
            PermitFleet fleet = new PermitFleet(seed, instances, ENDPOINTS, limit, CALLS_PER_SECOND);
            fleet.run(6_000);

            fleet.splitAt(splitAt);
            fleet.run(8_000);
            fleet.splitAt(0);
            fleet.run(6_000);

            assertWithinLimit(fleet, limit, STABILITY_MILLIS);
        }
    }
}
